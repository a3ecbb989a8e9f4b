"""Chooses the entry instances whose addresses callers are given."""

from random import Random

from ..model.fleet import EntryInstance

#: Most instances in one answer; callers use no more addresses.
MAX_LISTED = 64
#: Of these, instances of the data centre of the one that answers, which is the
#: callers' own as a rule. The others are for the loss of this data centre.
MAX_LOCAL = 32


def list_entries(
    own: EntryInstance,
    instances: tuple[EntryInstance, ...],
    *,
    is_leaving: bool,
    rng: Random,
) -> tuple[EntryInstance, ...]:
    """Return the instances to which callers may connect.

    In a large system each answer is another sample, so that all instances get
    callers however the list of instances is ordered.

    Parameters
    ----------
    own
        The instance that answers.
    instances
        Living entry instances.
    is_leaving
        The answering instance is shutting down; it is listed only if no other
        is alive.
    rng
        Draws the sample.

    """
    others = [
        entry
        for entry in instances
        if entry.node != own.node and not entry.is_leaving
    ]
    if is_leaving and others:
        return tuple(_sample(own, others, MAX_LISTED, rng))
    return (own, *_sample(own, others, MAX_LISTED - 1, rng))


def _sample(
    own: EntryInstance, others: list[EntryInstance], count: int, rng: Random
) -> list[EntryInstance]:
    if len(others) <= count:
        return others
    shuffled = rng.sample(others, len(others))
    local = [
        entry for entry in shuffled if entry.data_centre == own.data_centre
    ][:MAX_LOCAL]
    remote = [
        entry for entry in shuffled if entry.data_centre != own.data_centre
    ]
    return (local + remote)[:count]
