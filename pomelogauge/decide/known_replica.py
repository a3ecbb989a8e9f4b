"""What a router knows of one replica, and how many requests it may send."""

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
    """Periods and bounds of a router's use of replicas.

    Parameters
    ----------
    suspect_s
        Seconds without new requests after one was lost at the replica.
    refused_hold_s
        Seconds without new requests after the replica refused one.
    linger_s
        Seconds for which a lost request keeps its slot, as the replica may
        still run it.
    proof_life_s
        Seconds after a completed answer for which a warm replica counts as
        alive, so that requests go on when its grant is not renewed.
    silent_s
        Age of a load report, in seconds, beyond which the warmth of the
        replica is no longer known.
    cold_slots
        Concurrent requests of this router at a replica that may be cold.

    """

    suspect_s: float = 2
    refused_hold_s: float = 0.5
    linger_s: float = 5
    proof_life_s: float = 30
    silent_s: float = 10
    cold_slots: int = 1


@dataclass(frozen=True)
class HeldGrant:
    """Slots granted by a controller and when they expire by the local clock."""

    slots: int = 0
    expires_at_s: float = 0
    lease_epoch: Epoch = NO_EPOCH


@dataclass(frozen=True)
class KnownReplica:
    """State of one replica as a router knows it.

    Parameters
    ----------
    view
        Newest view that its owner has sent.
    controller
        Controller that sent the view.
    asked_at_s
        Local clock before the exchange request that the view answers.
    grant
        Last grant.
    warmth
        State of the warmth chart for it.
    last_completed_at_s
        Local clock when an answer of the replica last completed.
    held_until_s
        Local clock until which it gets no new requests.
    suspected
        A request was lost there, and no view has arrived since.
    unlisted
        The last answer of its controller did not list it.
    controller_unreachable
        Its controller did not answer the last exchange request.
    withdrawn
        The last answer of its controller carried no grant for it.

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
    """Return whether a view is at least as new as what is known.

    Views carry no lease epoch of their own, but the grants in the same answer
    do. Without a grant, a view from another controller counts only after the
    grant of the former controller has expired.

    Parameters
    ----------
    known
        State of the replica; ``None`` if it is new.
    view
        View that was received.
    controller
        Controller that sent it.
    epoch
        Lease epoch of the grants in the same answer; zero without any.
    now_s
        Local clock.

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
    """Return the state after a view.

    Until a grant of the same answer follows, the grant counts as withdrawn.

    Parameters
    ----------
    known
        State before.
    view
        View that was received.
    controller
        Controller that sent it.
    asked_at_s
        Local clock before the exchange request.
    rules
        Steps the warmth chart of the replica.
    silent_s
        Age of a load report, in seconds, beyond which the warmth is unknown.

    """
    warmth = rules.after_report(known.warmth, view)
    if view.load_age_s > silent_s:
        warmth = rules.after_reports_stopped(warmth)
    is_after_hold = asked_at_s > known.held_until_s
    return replace(
        known,
        view=view,
        controller=controller,
        asked_at_s=asked_at_s,
        warmth=warmth,
        suspected=known.suspected and not is_after_hold,
        unlisted=False,
        controller_unreachable=False,
        withdrawn=True,
    )


def with_grant(
    known: KnownReplica,
    grant: Grant,
    asked_at_s: float,
) -> KnownReplica:
    """Return the state after a grant; one of an older lease is ignored."""
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
    """Return the replica as a candidate for the next request.

    Parameters
    ----------
    known
        State of the replica.
    sent_times
        Local clock at the sending of each own request in progress there.
    slots
        Most own requests that it may run at once.

    """
    reported_at_s = known.asked_at_s - known.view.load_age_s
    since = sum(at_s > reported_at_s for at_s in sent_times)
    return CandidateReplica(known.view, slots, len(sent_times), since)


def usable_slots(
    known: KnownReplica,
    cfg: FleetSettings,
    now_s: float,
) -> int:
    """Return how many own requests a replica may run at once now.

    Zero while it is held back, and without a grant or other proof that it is
    alive.
    """
    if known.held_until_s > now_s:
        return 0
    is_granted = known.grant.expires_at_s > now_s
    if not is_granted and not is_proven_alive(known, cfg, now_s):
        return 0
    if known.warmth.limited:
        return min(known.grant.slots, cfg.cold_slots)
    return known.grant.slots


def is_proven_alive(
    known: KnownReplica,
    cfg: FleetSettings,
    now_s: float,
) -> bool:
    """Return whether recent answers of a warm replica replace a grant.

    While its controller does not answer, the router goes on sending requests
    within the last grant. A controller that answers without a grant has
    withdrawn it.
    """
    if known.withdrawn or known.unlisted:
        return False
    is_warm = known.warmth.state is WarmthState.WARM
    is_alive = now_s - known.last_completed_at_s < cfg.proof_life_s
    return known.controller_unreachable and is_warm and is_alive


def lease_epochs(answer: ExchangeAnswer) -> dict[ShardName, Epoch]:
    """Return the highest lease epoch of the grants of each shard."""
    shards = {view.replica.replica: view.replica.shard for view in answer.views}
    epochs: dict[ShardName, Epoch] = {}
    for grant in answer.grants:
        shard = shards.get(grant.replica)
        if shard is not None:
            known = epochs.get(shard, NO_EPOCH)
            epochs[shard] = max(known, grant.lease_epoch)
    return epochs
