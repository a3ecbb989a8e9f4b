"""The task that exchanges heartbeats with the owner's instance."""

from dataclasses import dataclass, replace

from returns.result import Failure

from ..decide.part_case import Surroundings
from ..decide.report_interval import (
    heartbeat_timeout_s,
    report_interval_s,
    urgent_interval_s,
)
from ..model.fleet import EntryInstance, Fleet
from ..model.ids import NodeName, TargetName
from ..model.log_parts import Part
from ..model.prompt_parts import PartEvidence, PartVerdicts
from ..model.target_limits import TargetLimit
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .dispatch_messages import LimitsShared
from .limit_reports import LimitReports
from .messages import (
    InstanceLeaving,
    InstanceMembershipMessage,
    InstancesObserved,
    OwnerAnswerMissed,
    OwnerAnswerReceived,
    PartsJudged,
    PartsRestored,
    ReportReceived,
    SuspectsShared,
    TargetsSuspected,
)
from .owner_link import (
    NO_SNAPSHOT,
    EntryReport,
    MembershipSnapshot,
    OwnerLink,
    SnapshotVersion,
)
from .ownership import OwnershipStatus
from .part_reports import PartReports, ReceivedEvidence
from .suspect_reports import SuspectReports

#: Seconds after which new suspects are reported. Suspects that come up within
#: this time go into one report.
SUSPECT_DELAY_S = 0.05
#: Seconds after which the owner lists an instance that is new or has changed.
#: Those that come up within this time are listed together.
LIST_DELAY_S = 0.1

_log = part_logger(Part.ENTRY)

#: Names of instances in one log line at most.
_LOGGED_NAMES = 20


@dataclass(frozen=True)
class InstanceMembershipPorts:
    """Other tasks and values that the membership task uses.

    Parameters
    ----------
    link
        Connection to the owner; owned by this task.
    ownership
        Published by the owner task: who the owner is.
    owner
        The owner task of this process; it runs in standby too.
    listeners
        Tasks that are notified when the set of living instances changes.
    published_fleet
        Newest state of the fleet; read only.

    """

    link: OwnerLink
    ownership: Published[OwnershipStatus]
    owner: Outbox[OwnerAnswerReceived | OwnerAnswerMissed | TargetsSuspected]
    listeners: tuple[Outbox[InstancesObserved], ...]
    published_fleet: Published[Fleet]


@dataclass(frozen=True)
class _Heartbeat:
    """An instance and when it last reported, by the local clock."""

    instance: EntryInstance
    at_s: float


class InstanceMembership:
    """Reports this instance to the owner and tracks which instances live.

    On the owner it collects the reports of all instances and answers them
    with a membership snapshot. Elsewhere it takes the snapshot from the
    owner's answers.

    Parameters
    ----------
    own
        This instance.
    ports
        Other tasks and values.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(
        self,
        own: EntryInstance,
        ports: InstanceMembershipPorts,
        clock: Clock,
    ) -> None:
        """Start without knowledge of other instances."""
        self._own = own
        self._ports = ports
        self._clock = clock
        self._heartbeats: dict[NodeName, _Heartbeat] = {}
        self._suspect_reports = SuspectReports()
        self._suspects: frozenset[TargetName] = frozenset()
        self._parts = PartReports()
        self._limits = LimitReports()
        self._notified = InstancesObserved(())
        self._version = NO_SNAPSHOT
        self._is_answered = False
        self._next_s = 0.0

    def share_suspects_with(self, *listeners: Outbox[SuspectsShared]) -> None:
        """Set who learns of targets that several instances suspect.

        Called before the start.
        """
        self._suspect_reports.share_with(*listeners)

    def share_verdicts_with(self, *listeners: Outbox[PartsJudged]) -> None:
        """Set who learns which parts of prompts crash targets.

        Called before the start.
        """
        self._parts.share_with(*listeners)

    def share_limits_with(self, *listeners: Outbox[LimitsShared]) -> None:
        """Set who learns of limits that other instances have read.

        Called before the start.
        """
        self._limits.share_with(*listeners)

    def on_start(self) -> None:
        """Notify the listeners of this instance before the first report."""
        self._notify((self._own,), is_listed=False)

    def on_message(self, message: InstanceMembershipMessage) -> None:
        """Answer a report, or bring the next own report forward."""
        match message:
            case ReportReceived():
                message.reply.post(self._answer(message.report))
            case TargetsSuspected():
                self._suspects |= message.targets
                self._report_soon()
            case PartsRestored():
                self._parts.restore(message.parts, self._clock.now_s())
            case PartEvidence():
                self._parts.record(message, self._clock.now_s())
                self._report_soon()
            case TargetLimit():
                self._limits.record(message, self._clock.now_s())
            case InstanceLeaving():
                self._own = replace(self._own, is_leaving=True)
                self._next_s = 0

    def on_timer(self) -> float | None:
        """Send a report if one is due; blocks until it is answered.

        Returns
        -------
        float
            Seconds until the next report.

        """
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return self._next_s - now_s
        ownership = self._ports.ownership.latest()
        has_owner = ownership.is_own or self._is_answered
        is_urgent = self._parts.has_suspicion() or not has_owner
        interval_s = urgent_interval_s if is_urgent else report_interval_s
        self._next_s = now_s + interval_s(len(self._notified.instances))
        self._parts.repeat_for(ownership.term, now_s)
        self._limits.forget_old(
            self._ports.published_fleet.latest().targets, now_s
        )
        report = EntryReport(
            self._own,
            self._suspects,
            self._version,
            self._parts.take(now_s),
            self._limits.news(ownership.term, now_s),
            self._limits.version,
        )
        self._suspects = frozenset()
        if ownership.is_own:
            self._record(report)
            self._limits.collect(report.limits, ownership.term, now_s)
            self._update_list(ownership.term)
            self._judge(report, ownership.term)
        elif ownership.address:
            self._report(ownership, report)
        return max(0, self._next_s - self._clock.now_s())

    def on_stop(self) -> None:
        """Do nothing; other instances notice the missing heartbeats."""

    def _answer(self, report: EntryReport) -> MembershipSnapshot | None:
        ownership = self._ports.ownership.latest()
        if not ownership.may_act(ownership.term, self._clock.now_s()):
            return None
        self._record(report)
        if self._version.term != ownership.term:
            self._update_list(ownership.term)
        now_s = self._clock.now_s()
        self._limits.collect(report.limits, ownership.term, now_s)
        is_known = report.known == self._version
        knows_limits = report.known_limits == self._limits.version
        return MembershipSnapshot(
            ownership.term,
            ownership.renewal_version,
            () if is_known else self._notified.instances,
            self._version,
            self._judge(report, ownership.term),
            () if knows_limits else self._limits.told(now_s),
            self._limits.version,
        )

    def _judge(self, report: EntryReport, term: int) -> PartVerdicts:
        fleet = self._ports.published_fleet.latest()
        return self._parts.judge(
            ReceivedEvidence(report.instance.node, report.parts),
            term,
            Surroundings(fleet.targets, len(self._notified.instances)),
            self._clock.now_s(),
        )

    def _report_soon(self) -> None:
        soon_s = self._clock.now_s() + SUSPECT_DELAY_S
        self._next_s = min(self._next_s, soon_s)

    def _update_list(self, term: int) -> None:
        """Give the list of living instances a new version if it changed.

        The owner does so with its own reports only, so that the list changes
        a few times a second at most, however many instances come and go.
        """
        count = self._version.count
        if self._notify(self._living()) or self._version.term != term:
            count += 1
        self._version = SnapshotVersion(term, count)

    def _record(self, report: EntryReport) -> None:
        now_s = self._clock.now_s()
        known = self._heartbeats.get(report.instance.node)
        if known is None or known.instance != report.instance:
            self._next_s = min(self._next_s, now_s + LIST_DELAY_S)
        self._heartbeats[report.instance.node] = _Heartbeat(
            report.instance, now_s
        )
        if report.suspects:
            self._ports.owner.post(TargetsSuspected(report.suspects))
            self._suspect_reports.collect(
                report.instance.node, report.suspects, now_s
            )

    def _living(self) -> tuple[EntryInstance, ...]:
        timeout_s = heartbeat_timeout_s(len(self._heartbeats))
        oldest_s = self._clock.now_s() - timeout_s
        self._heartbeats = {
            node: heartbeat
            for node, heartbeat in self._heartbeats.items()
            if heartbeat.at_s >= oldest_s
        }
        return tuple(
            self._heartbeats[node].instance for node in sorted(self._heartbeats)
        )

    def _report(self, ownership: OwnershipStatus, report: EntryReport) -> None:
        began_s = self._clock.now_s()
        answer = self._ports.link.report(ownership.address, report)
        if isinstance(answer, Failure):
            # The suspects and the evidence go into the next report.
            self._suspects |= report.suspects
            now_s = self._clock.now_s()
            self._parts.add(report.parts.aged(now_s - began_s), now_s)
            error = answer.failure()
            if self._is_answered:
                _log.warning(
                    'the owner does not answer reports: %s',
                    error.message,
                    extra={'term': ownership.term, 'owner': ownership.address},
                )
            self._is_answered = False
            self._ports.owner.post(OwnerAnswerMissed(ownership.term))
            return
        if not self._is_answered:
            _log.info(
                'the owner answers reports', extra={'term': ownership.term}
            )
        self._is_answered = True
        snapshot = answer.unwrap()
        self._parts.follow(snapshot.parts)
        self._limits.follow(snapshot.limits, snapshot.limits_version, began_s)
        living = snapshot.instances
        if snapshot.version != NO_SNAPSHOT and snapshot.version == report.known:
            living = self._notified.instances
        now_s = self._clock.now_s()
        # If this instance takes over, it starts with the instances that
        # lived under the former owner.
        self._heartbeats = {
            instance.node: _Heartbeat(instance, now_s) for instance in living
        }
        self._ports.owner.post(
            OwnerAnswerReceived(snapshot.term, snapshot.renewal_version)
        )
        self._notify(living)
        self._version = snapshot.version

    def _notify(
        self, living: tuple[EntryInstance, ...], *, is_listed: bool = True
    ) -> bool:
        """Notify the listeners of the living instances if they changed."""
        before = self._notified.instances
        observed = InstancesObserved(living, is_listed)
        if observed == self._notified:
            return False
        self._notified = observed
        _log.info(
            'living entry instances have changed',
            extra={
                'count': len(living),
                'came': _names(living, before),
                'left': _names(before, living),
            },
        )
        for listener in self._ports.listeners:
            listener.post(observed)
        return True


def _names(
    instances: tuple[EntryInstance, ...],
    without: tuple[EntryInstance, ...],
) -> list[NodeName]:
    """Return names of instances that are not among others, for a log line."""
    others = {instance.node for instance in without}
    names = [
        instance.node for instance in instances if instance.node not in others
    ]
    return names[:_LOGGED_NAMES]
