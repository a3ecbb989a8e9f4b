"""Chooses from which instance an instance gets the deltas of the tables."""

from collections.abc import Iterable
from dataclasses import dataclass

from ..model.fleet import EntryInstance
from ..model.ids import Address, DataCentreName
from .rendezvous import score

#: Most instances that all watch the owner. In a larger system one instance of
#: each data centre does so, the relay, and the others there watch the relay.
MAX_DIRECT_WATCHERS = 24

_RELAY_KEY = 'relay'


@dataclass(frozen=True)
class WatchSources:
    """From where an instance may get the deltas.

    Parameters
    ----------
    addresses
        Addresses in the order in which they are tried; never empty.
    is_relay
        Whether the instance is the relay of its data centre itself.

    """

    addresses: tuple[Address, ...]
    is_relay: bool = False


def watch_sources(
    own: EntryInstance,
    instances: tuple[EntryInstance, ...],
    owner: Address,
) -> WatchSources:
    """Return from where an instance gets the deltas.

    The relay of the own data centre comes before the owner, unless the owner
    is in this data centre too.

    Parameters
    ----------
    own
        The instance that watches.
    instances
        Living entry instances.
    owner
        Address of the owner.

    """
    if len(instances) <= MAX_DIRECT_WATCHERS:
        return WatchSources((owner,))
    local = tuple(_in_data_centre(instances, own.data_centre))
    relay = _relay(instance for instance in local if instance.peers != owner)
    if relay is None:
        return WatchSources((owner,))
    if relay.node == own.node:
        return WatchSources((owner,), is_relay=True)
    if any(instance.peers == owner for instance in local):
        return WatchSources((owner, relay.peers))
    return WatchSources((relay.peers, owner))


def _in_data_centre(
    instances: Iterable[EntryInstance], data_centre: DataCentreName
) -> Iterable[EntryInstance]:
    return (
        instance
        for instance in instances
        if instance.data_centre == data_centre
    )


def _relay(local: Iterable[EntryInstance]) -> EntryInstance | None:
    """Return the relay of a data centre: the instance with the most cores."""
    candidates = (
        instance
        for instance in local
        if instance.peers and not instance.is_leaving
    )
    return max(
        candidates,
        key=lambda relay: (relay.cores, score(_RELAY_KEY, relay.node)),
        default=None,
    )
