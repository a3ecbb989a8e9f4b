"""Order and bounds of the requests that wait for a place."""

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
        The request.
    priority
        Highest priority of the deployments that may answer it.
    deadline_at_s
        Own clock when it is refused.

    """

    request: ModelRequest
    priority: int
    deadline_at_s: float


@dataclass(frozen=True)
class OrganisationLoad:
    """What organisations have running, and their weights."""

    running: Mapping[OrganisationName, int] = field(default_factory=dict)
    weights: Mapping[OrganisationName, int] = field(default_factory=dict)


@dataclass(frozen=True)
class QueueLimits:
    """Bounds of the queue.

    Parameters
    ----------
    max_waiting
        Requests in the queue.
    retry_after_s
        Hint for those refused.

    """

    max_waiting: int = 1000
    retry_after_s: float = 1


def select_next(
    heads: Iterable[WaitingRequest],
    shares: OrganisationLoad,
) -> WaitingRequest | None:
    """Return who goes first among the heads of several queues.

    The order is by priority, then by what the organisation has running in
    proportion to its weight, then by deadline, so that one organisation's
    long queue does not hold up another's short one.

    Parameters
    ----------
    heads
        The most urgent request of each organisation.
    shares
        What organisations have running.

    """
    return min(heads, key=partial(_rank, shares), default=None)


def admission_refusal(
    req: ModelRequest,
    waiting: int,
    in_flight: int,
    max_in_flight: int,
    limits: QueueLimits,
) -> Refusal | None:
    """Return why a request may not join the queue.

    Parameters
    ----------
    req
        The request.
    waiting
        Requests in the queue.
    in_flight
        Requests of the organisation that wait or run.
    max_in_flight
        Its limit; zero for none.
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
    shares: OrganisationLoad,
    entry: WaitingRequest,
) -> tuple[int, float, float, str]:
    organisation = entry.request.organisation
    weight = max(shares.weights.get(organisation, 1), 1)
    return (
        -entry.priority,
        shares.running.get(organisation, 0) / weight,
        entry.deadline_at_s,
        entry.request.request,
    )
