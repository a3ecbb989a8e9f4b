"""Requests of callers, their slots and their refusals."""

from dataclasses import dataclass
from enum import StrEnum

from .ids import (
    Address,
    CallName,
    DeploymentName,
    InstanceName,
    ModelName,
    OrganisationName,
    RequestId,
    ServiceName,
)
from .placement import ReplicaView


class Execution(StrEnum):
    """Whether a refused request has run.

    It is never wrong: where nothing is known, it is ``MAY_HAVE_RUN``.
    """

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class RefusalCode(StrEnum):
    """Cause of a refusal, as callers get it."""

    MALFORMED = 'malformed_request'
    TOO_LARGE = 'body_too_large'
    UNKNOWN_KEY = 'unknown_key'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_CALL = 'unknown_call'
    NOT_ALLOWED = 'organisation_not_allowed'
    KEY_MISSING = 'idempotency_key_missing'
    KEY_REUSED = 'idempotency_key_reused'
    OUTCOME_UNKNOWN = 'call_outcome_unknown'
    ANSWER_NOT_KEPT = 'call_answer_not_kept'
    OVER_LIMIT = 'organisation_over_limit'
    NO_CAPACITY = 'no_capacity'
    DEADLINE = 'deadline_out_of_reach'
    DRAINING = 'entry_draining'
    CUT_OFF = 'entry_cut_off'
    TARGET_LOST = 'target_lost'
    CALLER_LEFT = 'caller_left'
    TARGET_REFUSED = 'target_refused'
    STORE_DOWN = 'store_unavailable'
    INTERNAL = 'internal_error'


@dataclass(frozen=True)
class Refusal:
    """Refusal of a request, as callers get it.

    Parameters
    ----------
    code
        Cause, for programs.
    message
        Cause in one sentence, for people.
    execution
        Whether the request has run.
    retry_after_s
        Seconds after which a retry may succeed; zero for no hint.
    request
        Identifier of the refused request.

    """

    code: RefusalCode
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float = 0
    request: RequestId = RequestId('')


@dataclass(frozen=True)
class ModelRequest:
    """A caller's request to a model, decoded.

    Parameters
    ----------
    request
        Identifier that is passed on with every hop.
    organisation
        Organisation of the API key.
    model
        Requested name, ``model`` or ``model:adapter``.
    prefix
        Hash of the start of the prompt, for affinity; empty for none.
    deadline_s
        Seconds that the caller waits for the first token.

    """

    request: RequestId
    organisation: OrganisationName
    model: ModelName
    prefix: str = ''
    deadline_s: float = 30


@dataclass(frozen=True)
class ServiceRequest:
    """A caller's call to a plain service, decoded.

    Parameters
    ----------
    request
        Identifier that is passed on with every hop.
    organisation
        Organisation of the API key.
    service, call
        Names of the service and of its call.
    idempotency_key
        Key by which retries are recognised; empty for none.

    """

    request: RequestId
    organisation: OrganisationName
    service: ServiceName
    call: CallName
    idempotency_key: str = ''


@dataclass(frozen=True)
class Slot:
    """Slot for one request at one replica.

    Parameters
    ----------
    request
        Request that holds the slot.
    deployment
        Deployment of the replica.
    view
        The replica, as the router knew it when it granted the slot.
    address
        ``host:port`` of the leading member.

    """

    request: RequestId
    deployment: DeploymentName
    view: ReplicaView
    address: Address


@dataclass(frozen=True)
class ServiceSlot:
    """Slot for one call at one instance of a plain service."""

    request: RequestId
    instance: InstanceName
    address: Address


class SlotOutcome(StrEnum):
    """How the request ended that held a slot.

    ``COMPLETED``: with a complete answer. ``REFUSED``: the target stated that
    it did not run the request. ``LOST``: the target was not reached or did not
    answer completely; it may still run the request. ``CANCELLED``: the caller
    left and the target no longer runs the request.
    """

    COMPLETED = 'completed'
    REFUSED = 'refused'
    LOST = 'lost'
    CANCELLED = 'cancelled'
