"""Requests of callers, places for them and refusals."""

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
    """What a refusal says about the request; always true."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class RefusalCode(StrEnum):
    """Why a request was refused."""

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
    """A truthful refusal.

    Parameters
    ----------
    code
        Why.
    message
        One sentence for a person.
    execution
        Whether the request was run.
    retry_after_s
        Seconds after which a repeat may succeed; zero for no hint.
    request
        Request refused.

    """

    code: RefusalCode
    message: str
    execution: Execution = Execution.NOT_RUN
    retry_after_s: float = 0
    request: RequestId = RequestId('')


@dataclass(frozen=True)
class ModelRequest:
    """A caller's request to a model, without its encoding.

    Parameters
    ----------
    request
        Identifier that every hop carries.
    organisation
        Whose key it came with.
    model
        Name that the caller asked for, ``model`` or ``model:adapter``.
    prefix
        Hash of the start of the prompt, for affinity; empty for none.
    deadline_s
        Seconds that the caller will wait for the first token.

    """

    request: RequestId
    organisation: OrganisationName
    model: ModelName
    prefix: str = ''
    deadline_s: float = 30


@dataclass(frozen=True)
class ServiceRequest:
    """A call to a plain service, without its encoding.

    Parameters
    ----------
    request
        Identifier that every hop carries.
    organisation
        Whose key it came with.
    service, call
        What is called.
    idempotency_key
        Caller's key; empty for none.

    """

    request: RequestId
    organisation: OrganisationName
    service: ServiceName
    call: CallName
    idempotency_key: str = ''


@dataclass(frozen=True)
class Slot:
    """Room for one request on one replica.

    Parameters
    ----------
    request
        Whose place it is.
    deployment
        Deployment that was chosen.
    view
        Replica that was chosen.
    address
        Address of the leading member.

    """

    request: RequestId
    deployment: DeploymentName
    view: ReplicaView
    address: Address


@dataclass(frozen=True)
class ServiceSlot:
    """Instance of a plain service that takes one call."""

    request: RequestId
    instance: InstanceName
    address: Address


class SlotOutcome(StrEnum):
    """How a place was given back."""

    COMPLETED = 'completed'
    REFUSED = 'refused'
    LOST = 'lost'
    CANCELLED = 'cancelled'
