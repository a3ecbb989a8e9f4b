"""Order and bounds of the requests that wait for a slot."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

from ..model.ids import OrganisationName
from ..model.request import ModelRequest, Refusal, RefusalCode


@dataclass(frozen=True)
class WaitingRequest:
    """A request in the queue.

    Parameters
    ----------
    request
        Request that waits for a slot.
    priority
        Highest priority of the deployments that may answer it.
    deadline_at_s
        Local clock at which it is refused if it still waits.

    """

    request: ModelRequest
    priority: int
    deadline_at_s: float


@dataclass(frozen=True)
class OrganisationLoad:
    """Requests in progress and weight of each organisation.

    An organisation without a weight has weight 1.
    """

    running: Mapping[OrganisationName, int] = field(default_factory=dict)
    weights: Mapping[OrganisationName, int] = field(default_factory=dict)


@dataclass(frozen=True)
class QueueLimits:
    """Bounds of the queue.

    Parameters
    ----------
    max_waiting
        Most requests in the queue.
    retry_after_s
        Seconds after which refused callers are advised to try again.

    """

    max_waiting: int = 1000
    retry_after_s: float = 1


def select_next(
    heads: Iterable[WaitingRequest],
    load: OrganisationLoad,
) -> WaitingRequest | None:
    """Return the request to serve next among the heads of several queues.

    The order is by priority, then by the requests that the organisation has
    in progress divided by its weight, then by deadline. One organisation's
    long queue thus does not hold up another's short one.

    Parameters
    ----------
    heads
        The most urgent request of each organisation.
    load
        Requests in progress of the organisations.

    """
    return min(heads, key=partial(_rank, load), default=None)


def admission_refusal(
    req: ModelRequest,
    waiting: int,
    in_flight: int,
    max_in_flight: int,
    limits: QueueLimits,
) -> Refusal | None:
    """Return why a request may not join the queue; ``None`` if it may.

    Parameters
    ----------
    req
        Request to admit.
    waiting
        Requests in the queue.
    in_flight
        Requests of the organisation that wait or run.
    max_in_flight
        Limit of the organisation; zero for no limit.
    limits
        Bounds of the queue.

    """
    if max_in_flight and in_flight >= max_in_flight:
        return Refusal(
            RefusalCode.OVER_LIMIT,
            f'{req.organisation} has {in_flight} requests in flight',
            retry_after_s=limits.retry_after_s,
            request=req.request,
        )
    if waiting >= limits.max_waiting:
        return Refusal(
            RefusalCode.NO_CAPACITY,
            f'{waiting} requests wait already',
            retry_after_s=limits.retry_after_s,
            request=req.request,
        )
    return None


def _rank(
    load: OrganisationLoad,
    waiting: WaitingRequest,
) -> tuple[int, float, float, str]:
    organisation = waiting.request.organisation
    weight = max(load.weights.get(organisation, 1), 1)
    return (
        -waiting.priority,
        load.running.get(organisation, 0) / weight,
        waiting.deadline_at_s,
        waiting.request.request,
    )
