"""Who should hold a shard, who is silent, and how long a lease lasts."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ..model.ids import NodeName, ShardName
from ..model.placement import Heartbeat, Lease
from ..model.times import ControlTimes
from ..model.topology import Instance, InstanceRole
from .rendezvous import winner


@dataclass(frozen=True)
class HolderObservation:
    """A holder's row as this process has watched it.

    Parameters
    ----------
    heartbeat
        Newest row.
    since_s
        Own clock after the read that first saw this version.
    live_since_s
        Own clock when the holder came up, or came back after silence.

    """

    heartbeat: Heartbeat
    since_s: float
    live_since_s: float


Holders = Mapping[NodeName, HolderObservation]


@dataclass(frozen=True)
class LeaseContext:
    """What a controller knows when it decides about leases.

    Parameters
    ----------
    node
        The controller itself.
    holders
        All holders that it has watched, itself included.
    handed_over_s
        When it last handed a shard over of its own will.
    now_s
        Own clock.

    """

    node: NodeName
    holders: Holders
    handed_over_s: float
    now_s: float


def shards_of(instances: Iterable[Instance]) -> frozenset[ShardName]:
    """Return the shards of all engines, each ``data_centre/domain``."""
    return frozenset(
        shard_of(instance)
        for instance in instances
        if instance.role == InstanceRole.ENGINE
    )


def shard_of(instance: Instance) -> ShardName:
    """Return the shard in which an instance stands."""
    return ShardName(f'{instance.data_centre}/{instance.domain}')


def observe(
    before: Holders,
    heartbeats: Iterable[Heartbeat],
    now_s: float,
    times: ControlTimes,
) -> dict[NodeName, HolderObservation]:
    """Return what is known of the holders after a scan.

    Parameters
    ----------
    before
        What was known.
    heartbeats
        The scanned rows.
    now_s
        Own clock after the scan.
    times
        Periods.

    Returns
    -------
    dict
        One entry for each row.

    """
    return {
        heartbeat.holder: _seen(
            before.get(heartbeat.holder), heartbeat, now_s, times
        )
        for heartbeat in heartbeats
    }


def is_expired(
    seen: HolderObservation | None,
    now_s: float,
    times: ControlTimes,
) -> bool:
    """Return whether a holder's lease has lapsed beyond doubt.

    A holder without a row can't have renewed since its row was deleted,
    which only it itself or nobody's lease allows.
    """
    if seen is None:
        return True
    return now_s - seen.since_s >= times.lease_term_s + times.lease_margin_s


def held_until_s(sent_at_s: float, times: ControlTimes) -> float:
    """Return when a lease lapses that was renewed by a write sent then."""
    return sent_at_s + times.lease_term_s


def live_nodes(
    standing: LeaseContext, times: ControlTimes
) -> tuple[NodeName, ...]:
    """Return the controller itself and all that are not silent."""
    others = [
        node
        for node, seen in standing.holders.items()
        if node != standing.node and not is_expired(seen, standing.now_s, times)
    ]
    return (standing.node, *others)


def is_wanted(
    lease: Lease, standing: LeaseContext, times: ControlTimes
) -> bool:
    """Return whether this controller should take a lease that is free.

    A lease that names this controller is its own to renew or to take anew,
    since nobody else sees the holder silent.
    """
    if lease.holder == standing.node:
        return True
    return winner(lease.shard, live_nodes(standing, times)) == standing.node


def should_hand_over(
    shard: ShardName,
    standing: LeaseContext,
    times: ControlTimes,
) -> bool:
    """Return whether to hand a held shard to a settled winner.

    Hysteresis: one hand-over an interval, and only to a controller that has
    been live for some time.
    """
    since_last_s = standing.now_s - standing.handed_over_s
    if since_last_s < times.hand_over_interval_s:
        return False
    best = winner(shard, live_nodes(standing, times))
    if best is None or best == standing.node:
        return False
    live_s = standing.now_s - standing.holders[best].live_since_s
    return live_s >= times.min_uptime_s


def _seen(
    before: HolderObservation | None,
    heartbeat: Heartbeat,
    now_s: float,
    times: ControlTimes,
) -> HolderObservation:
    if before is None:
        return HolderObservation(heartbeat, now_s, now_s)
    if before.heartbeat.version == heartbeat.version:
        return before
    if is_expired(before, now_s, times):
        return HolderObservation(heartbeat, now_s, now_s)
    return replace(before, heartbeat=heartbeat, since_s=now_s)
