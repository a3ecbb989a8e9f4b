"""Replicas as one router knows them."""

import math
from collections.abc import Iterator
from dataclasses import replace

from ..decide.known_replica import (
    FleetSettings,
    KnownReplica,
    candidate_of,
    is_current_view,
    lease_epochs,
    usable_slots,
    with_grant,
    with_view,
)
from ..decide.routing import CandidateReplica
from ..decide.target_warmth import WarmthRules
from ..model.ids import (
    NO_EPOCH,
    DeploymentName,
    Epoch,
    Incarnation,
    InstanceName,
    NodeName,
    ReplicaId,
    RequestId,
)
from ..model.peers import ReplicaUse
from ..model.placement import ReplicaView
from ..model.request import SlotOutcome
from .messages import ExchangeDone
from .sent_requests import SentRequests


class Fleet:
    """Views, grants and warmth; state of the dispatcher's task."""

    def __init__(self, cfg: FleetSettings, rules: WarmthRules) -> None:
        """Know no replica yet."""
        self._cfg = cfg
        self._rules = rules
        self._known: dict[ReplicaId, KnownReplica] = {}
        self._sent = SentRequests()
        self._leaving: frozenset[InstanceName] = frozenset()

    def take_answer(self, done: ExchangeDone, now_s: float) -> None:
        """Take a controller's views and grants."""
        if done.answer is None:
            self._note_unanswered(done.controller)
            return
        epochs = lease_epochs(done.answer)
        for view in done.answer.views:
            epoch = epochs.get(view.replica.shard, NO_EPOCH)
            self._take_view(view, done, epoch, now_s)
        for grant in done.answer.grants:
            known = self._known.get(grant.replica)
            if known and known.controller == done.controller:
                granted = with_grant(known, grant, done.requested_at_s)
                self._known[grant.replica] = granted
        self._drop_absent(done, now_s)

    def set_leaving(self, names: frozenset[InstanceName]) -> None:
        """Take the instances that the platform announced as leaving."""
        self._leaving = names

    def candidates(
        self,
        deployments: tuple[DeploymentName, ...],
        now_s: float,
    ) -> tuple[CandidateReplica, ...]:
        """Return the replicas of deployments and what they may be sent."""
        return tuple(
            candidate_of(
                known,
                self._sent.sent_times(replica),
                self._usable(known, now_s),
            )
            for replica, known in self._known.items()
            if known.view.replica.deployment in deployments
        )

    def record_sent(
        self,
        replica: ReplicaId,
        request: RequestId,
        now_s: float,
    ) -> None:
        """Count a request as sent to a replica."""
        self._sent.add(replica, request, now_s)

    def record_ended(
        self,
        replica: ReplicaId,
        request: RequestId,
        end: SlotOutcome,
        now_s: float,
    ) -> None:
        """Count a request no longer and learn from how it ended."""
        self._sent.end(replica, request)
        match end:
            case SlotOutcome.COMPLETED:
                self._prove(replica, now_s)
            case SlotOutcome.LOST:
                until_s = now_s + self._cfg.suspect_s
                self._hold(replica, until_s, suspected=True)
                self._sent.linger(replica, now_s + self._cfg.linger_s)
            case SlotOutcome.REFUSED:
                until_s = now_s + self._cfg.refused_hold_s
                self._hold(replica, until_s, suspected=False)

    def record_incarnation(
        self,
        replica: ReplicaId,
        incarnation: Incarnation,
    ) -> None:
        """Take the incarnation that an answer names."""
        known = self._known.get(replica)
        if known:
            warmth = self._rules.after_answer(known.warmth, incarnation)
            if warmth.incarnation != known.warmth.incarnation:
                self._sent.forget_lingering(replica)
            self._known[replica] = replace(known, warmth=warmth)

    def suspects(self) -> tuple[ReplicaId, ...]:
        """Return the replicas lost and not reported since."""
        return tuple(
            replica for replica, known in self._known.items() if known.suspected
        )

    def uses(self, now_s: float) -> Iterator[ReplicaUse]:
        """Yield what this router has of each replica, by its live grants."""
        counts = dict(self._sent.counts())
        for replica, known in self._known.items():
            is_live = known.grant.expires_at_s > now_s
            held = known.grant.slots if is_live else 0
            # Its target may still run what was lost.
            lingering = self._sent.lingering(replica, now_s)
            running = counts.pop(replica, 0) + lingering
            if held or running:
                yield ReplicaUse(replica, running, held)
        for replica, running in counts.items():
            yield ReplicaUse(replica, running, 0)

    def next_release_at_s(self, now_s: float) -> float:
        """Return the own clock when a replica may take work again."""
        holds = [
            known.held_until_s
            for known in self._known.values()
            if known.held_until_s > now_s
        ]
        held_until_s = min(holds, default=math.inf)
        return min(held_until_s, self._sent.next_end_s(now_s))

    def _usable(self, known: KnownReplica, now_s: float) -> int:
        """Return the slots that are left when lingering ones are taken."""
        replica = known.view.replica
        if self._leaving:
            instances = {member.instance for member in replica.members}
            if instances & self._leaving:
                return 0
        lingering = self._sent.lingering(replica.replica, now_s)
        return usable_slots(known, self._cfg, now_s) - lingering

    def _take_view(
        self,
        view: ReplicaView,
        done: ExchangeDone,
        epoch: Epoch,
        now_s: float,
    ) -> None:
        replica = view.replica.replica
        known = self._known.get(replica)
        if not is_current_view(known, view, done.controller, epoch, now_s):
            return
        self._known[replica] = with_view(
            known or KnownReplica(view, done.controller, done.requested_at_s),
            view,
            done.controller,
            done.requested_at_s,
            self._rules,
            self._cfg.silent_s,
        )

    def _note_unanswered(self, controller: NodeName) -> None:
        for replica, known in tuple(self._known.items()):
            if known.controller == controller:
                self._known[replica] = replace(
                    known, controller_unreachable=True
                )

    def _drop_absent(self, done: ExchangeDone, now_s: float) -> None:
        """Forget what a controller no longer names, once grants lapsed."""
        views = done.answer.views if done.answer else ()
        named = {view.replica.replica for view in views}
        for replica, known in tuple(self._known.items()):
            if known.controller != done.controller or replica in named:
                continue
            if known.grant.expires_at_s <= now_s:
                self._known.pop(replica)
            else:
                self._known[replica] = replace(known, unlisted=True)

    def _prove(self, replica: ReplicaId, now_s: float) -> None:
        """Take a whole answer as proof of life and of warmth."""
        known = self._known.get(replica)
        if known:
            warmth = self._rules.after_completion(known.warmth)
            self._known[replica] = replace(
                known, warmth=warmth, last_completed_at_s=now_s
            )

    def _hold(
        self,
        replica: ReplicaId,
        until_s: float,
        *,
        suspected: bool,
    ) -> None:
        known = self._known.get(replica)
        if known:
            self._known[replica] = replace(
                known,
                held_until_s=max(until_s, known.held_until_s),
                suspected=known.suspected or suspected,
            )
