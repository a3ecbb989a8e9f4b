"""Order and bounds of the requests that wait for a place."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..model.ids import OrganisationName
from ..model.request import ModelRequest, Refusal, RefusalCode


@dataclass(frozen=True)
class Waiting:
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
class Shares:
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


def in_order(
    waiting: Iterable[Waiting],
    shares: Shares,
) -> tuple[Waiting, ...]:
    """Return the queue by priority, fair share and deadline.

    A request's share counts what its organisation has running and has
    waiting before it, so that one organisation's long queue does not hold
    up another's short one.
    """
    counts: Counter[OrganisationName] = Counter(shares.running)
    ranked: list[tuple[int, float, float, str, Waiting]] = []
    for entry in sorted(waiting, key=_by_deadline):
        organisation = entry.request.organisation
        weight = max(shares.weights.get(organisation, 1), 1)
        ranked.append(
            (
                -entry.priority,
                counts[organisation] / weight,
                entry.deadline_at_s,
                entry.request.request,
                entry,
            )
        )
        counts[organisation] += 1
    return tuple(rank[-1] for rank in sorted(ranked, key=_without_entry))


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


def _by_deadline(entry: Waiting) -> tuple[int, float, str]:
    return (-entry.priority, entry.deadline_at_s, entry.request.request)


def _without_entry(
    rank: tuple[int, float, float, str, Waiting],
) -> tuple[int, float, float, str]:
    return rank[:4]
