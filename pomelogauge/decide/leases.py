"""Decides which controller should hold the lease of a shard, and how long."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ..model.ids import NodeName, ShardName
from ..model.placement import Heartbeat, Lease
from ..model.times import ControlTimes
from ..model.topology import Instance, InstanceRole
from .rendezvous import winner


@dataclass(frozen=True)
class HolderObservation:
    """Heartbeat row of a holder as this process has observed it.

    Parameters
    ----------
    heartbeat
        Newest row.
    since_s
        Local clock after the read that first returned this row version.
    live_since_s
        Local clock when the holder first appeared, or when it renewed again
        after it had expired.

    """

    heartbeat: Heartbeat
    since_s: float
    live_since_s: float


Holders = Mapping[NodeName, HolderObservation]


@dataclass(frozen=True)
class LeaseContext:
    """Input of a controller's decisions about leases.

    Parameters
    ----------
    node
        Name of the controller itself.
    holders
        All holders that it has observed, itself included.
    handed_over_s
        Local clock when it last handed a shard over voluntarily.
    now_s
        Local clock.

    """

    node: NodeName
    holders: Holders
    handed_over_s: float
    now_s: float


def shards_of(instances: Iterable[Instance]) -> frozenset[ShardName]:
    """Return the shards of all engines."""
    return frozenset(
        shard_of(instance)
        for instance in instances
        if instance.role == InstanceRole.ENGINE
    )


def shard_of(instance: Instance) -> ShardName:
    """Return the shard of an instance, ``DATA_CENTRE/DOMAIN``."""
    return ShardName(f'{instance.data_centre}/{instance.domain}')


def observe(
    before: Holders,
    heartbeats: Iterable[Heartbeat],
    now_s: float,
    times: ControlTimes,
) -> dict[NodeName, HolderObservation]:
    """Return the observations of the holders after a scan.

    Parameters
    ----------
    before
        Observations before the scan.
    heartbeats
        Rows that the scan has returned.
    now_s
        Local clock after the scan.
    times
        Lease term and margin.

    Returns
    -------
    dict
        One observation for each row; holders without a row are dropped.

    """
    return {
        heartbeat.holder: _observed(
            before.get(heartbeat.holder), heartbeat, now_s, times
        )
        for heartbeat in heartbeats
    }


def is_expired(
    holder: HolderObservation | None,
    now_s: float,
    times: ControlTimes,
) -> bool:
    """Return whether the leases of a holder have certainly expired.

    They have when its row has not changed for the lease term and the margin,
    counted from the read that first returned the row. A holder without a row
    has expired too: a row is deleted only by the holder itself or while no
    lease names the holder.
    """
    if holder is None:
        return True
    return now_s - holder.since_s >= times.lease_term_s + times.lease_margin_s


def held_until_s(sent_at_s: float, times: ControlTimes) -> float:
    """Return when a lease expires whose renewal was sent at ``sent_at_s``."""
    return sent_at_s + times.lease_term_s


def live_nodes(
    context: LeaseContext, times: ControlTimes
) -> tuple[NodeName, ...]:
    """Return the controller itself and all that have not expired."""
    others = [
        node
        for node, holder in context.holders.items()
        if node != context.node and not is_expired(holder, context.now_s, times)
    ]
    return (context.node, *others)


def is_wanted(lease: Lease, context: LeaseContext, times: ControlTimes) -> bool:
    """Return whether this controller should take a lease that is free.

    A lease that names this controller is its own to renew or to take again:
    for the other controllers, its holder has not expired.
    """
    if lease.holder == context.node:
        return True
    return winner(lease.shard, live_nodes(context, times)) == context.node


def should_hand_over(
    shard: ShardName,
    context: LeaseContext,
    times: ControlTimes,
) -> bool:
    """Return whether to hand a shard over to the controller that ranks first.

    To avoid flapping, a controller hands over at most one shard in each
    ``hand_over_interval_s``, and only to a controller that has been live for
    ``min_uptime_s``.
    """
    since_last_s = context.now_s - context.handed_over_s
    if since_last_s < times.hand_over_interval_s:
        return False
    best = winner(shard, live_nodes(context, times))
    if best is None or best == context.node:
        return False
    live_s = context.now_s - context.holders[best].live_since_s
    return live_s >= times.min_uptime_s


def _observed(
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
