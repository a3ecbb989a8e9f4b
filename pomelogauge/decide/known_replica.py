"""What a router knows of one replica, and what it may send to it."""

from dataclasses import dataclass, field, replace

from ..model.ids import (
    NO_EPOCH,
    Epoch,
    NodeName,
    ShardName,
)
from ..model.peers import ExchangeAnswer
from ..model.placement import Grant, ReplicaView
from .routing import CandidateReplica
from .target_warmth import Warmth, WarmthRules
from .warmth_chart import WarmthState


@dataclass(frozen=True)
class FleetSettings:
    """Settings of a router's dealings with replicas.

    Parameters
    ----------
    suspect_s
        Seconds without new work after a replica was lost.
    refused_hold_s
        Seconds without new work after a replica refused.
    linger_s
        Seconds for which a lost request keeps its slot, as its target may
        still run it.
    proof_life_s
        Seconds for which an answer proves a warm replica alive when its
        grant is not renewed.
    silent_s
        Age of a load report at which the replica counts as silent.
    cold_slots
        Requests at once on a replica whose warmth is in doubt.

    """

    suspect_s: float = 2
    refused_hold_s: float = 0.5
    linger_s: float = 5
    proof_life_s: float = 30
    silent_s: float = 10
    cold_slots: int = 1


@dataclass(frozen=True)
class HeldGrant:
    """A grant and when it lapses by the own clock."""

    slots: int = 0
    expires_at_s: float = 0
    lease_epoch: Epoch = NO_EPOCH


@dataclass(frozen=True)
class KnownReplica:
    """All that a router knows of one replica.

    Parameters
    ----------
    view
        What its owner said last.
    controller
        Who said it.
    asked_at_s
        Own clock before that exchange.
    grant
        Last grant.
    warmth
        State of its warmth machine.
    last_completed_at_s
        Own clock when one of its answers last completed.
    held_until_s
        Own clock until which it gets no new work.
    suspected
        It was lost, and no view has come since.
    unlisted
        Its controller no longer names it.
    controller_unreachable
        Its controller did not answer last.
    withdrawn
        Its controller last answered without a grant.

    """

    view: ReplicaView
    controller: NodeName
    asked_at_s: float
    grant: HeldGrant = field(default_factory=HeldGrant)
    warmth: Warmth = field(default_factory=Warmth)
    last_completed_at_s: float = float('-inf')
    held_until_s: float = float('-inf')
    suspected: bool = False
    unlisted: bool = False
    controller_unreachable: bool = False
    withdrawn: bool = False


def is_current_view(
    known: KnownReplica | None,
    view: ReplicaView,
    controller: NodeName,
    epoch: Epoch,
    now_s: float,
) -> bool:
    """Return whether a view is as new as what is known.

    Views carry no lease epoch of their own; the grants that come with
    them do. Without one, another controller is believed only once the
    grants of the former have lapsed.

    Parameters
    ----------
    known
        What is known; ``None`` for nothing.
    view
        The view.
    controller
        Who sent it.
    epoch
        Lease epoch of the grants beside it; zero for none.
    now_s
        Own clock.

    """
    if known is None:
        return True
    if view.replica.epoch < known.view.replica.epoch:
        return False
    if epoch != NO_EPOCH:
        return epoch >= known.grant.lease_epoch
    is_same = controller == known.controller
    return is_same or known.grant.expires_at_s <= now_s


def with_view(
    known: KnownReplica,
    view: ReplicaView,
    controller: NodeName,
    asked_at_s: float,
    rules: WarmthRules,
    silent_s: float,
) -> KnownReplica:
    """Return what is known after a view; a grant may follow it."""
    warmth = rules.after_report(known.warmth, view)
    if view.load_age_s > silent_s:
        warmth = rules.after_reports_stopped(warmth)
    is_newer = asked_at_s > known.held_until_s
    return replace(
        known,
        view=view,
        controller=controller,
        asked_at_s=asked_at_s,
        warmth=warmth,
        suspected=known.suspected and not is_newer,
        unlisted=False,
        controller_unreachable=False,
        withdrawn=True,
    )


def with_grant(
    known: KnownReplica,
    grant: Grant,
    asked_at_s: float,
) -> KnownReplica:
    """Return what is known after a grant; older leases change nothing."""
    if grant.lease_epoch < known.grant.lease_epoch:
        return known
    held = HeldGrant(
        grant.slots,
        asked_at_s + grant.life_s,
        grant.lease_epoch,
    )
    return replace(known, grant=held, withdrawn=False)


def candidate_of(
    known: KnownReplica,
    sent_times: tuple[float, ...],
    slots: int,
) -> CandidateReplica:
    """Return what may be sent to a replica now.

    Parameters
    ----------
    known
        What is known of it.
    sent_times
        When each own request on it was sent.
    slots
        Requests at once that it may have.

    """
    reported_at_s = known.asked_at_s - known.view.load_age_s
    since = sum(at_s > reported_at_s for at_s in sent_times)
    return CandidateReplica(known.view, slots, len(sent_times), since)


def usable_slots(
    known: KnownReplica,
    cfg: FleetSettings,
    now_s: float,
) -> int:
    """Return how many own requests a replica may have at once."""
    if known.held_until_s > now_s:
        return 0
    is_granted = known.grant.expires_at_s > now_s
    if not is_granted and not is_proven(known, cfg, now_s):
        return 0
    if known.warmth.limited:
        return min(known.grant.slots, cfg.cold_slots)
    return known.grant.slots


def is_proven(
    known: KnownReplica,
    cfg: FleetSettings,
    now_s: float,
) -> bool:
    """Return whether a warm replica's own answers replace a grant.

    While its controller does not answer, what serves goes on, within the
    last grant. A controller that answers without a grant takes it back.
    """
    if known.withdrawn or known.unlisted:
        return False
    is_warm = known.warmth.state is WarmthState.WARM
    is_alive = now_s - known.last_completed_at_s < cfg.proof_life_s
    return known.controller_unreachable and is_warm and is_alive


def lease_epochs(answer: ExchangeAnswer) -> dict[ShardName, Epoch]:
    """Return the highest lease epoch that the grants of a shard carry."""
    shards = {view.replica.replica: view.replica.shard for view in answer.views}
    epochs: dict[ShardName, Epoch] = {}
    for grant in answer.grants:
        shard = shards.get(grant.replica)
        if shard is not None:
            known = epochs.get(shard, NO_EPOCH)
            epochs[shard] = max(known, grant.lease_epoch)
    return epochs
