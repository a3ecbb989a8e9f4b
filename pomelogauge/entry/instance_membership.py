"""The task that reports to the owner, and keeps the roll when it is own."""

from dataclasses import dataclass, replace

from returns.result import Failure

from ..model.fleet import EntryInstance
from ..model.ids import NodeName, TargetName
from ..model.log_parts import Part
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .messages import (
    InstanceLeaving,
    InstanceMembershipMessage,
    InstancesObserved,
    OwnerAnswerMissed,
    OwnerAnswerReceived,
    ReportReceived,
    TargetsSuspected,
)
from .owner_link import EntryReport, MembershipSnapshot, OwnerLink
from .ownership import OwnershipStatus

#: Seconds between two reports.
REPORT_S = 0.5
#: Seconds between two reports while suspects are told.
SOON_S = 0.05
#: Seconds without a report after which an instance is not named: three
#: reports and their timeout.
SILENT_S = 2.0

_log = part_logger(Part.ENTRY)


@dataclass(frozen=True)
class InstanceMembershipPorts:
    """Whom the register talks to.

    Parameters
    ----------
    link
        Reports to the owner; owned by this task.
    ownership
        Who the owner is.
    owner
        Own task that owns the groups, or waits to.
    listeners
        Who learns of the living instances.

    """

    link: OwnerLink
    ownership: Published[OwnershipStatus]
    owner: Outbox[OwnerAnswerReceived | OwnerAnswerMissed | TargetsSuspected]
    listeners: tuple[Outbox[InstancesObserved], ...]


@dataclass(frozen=True)
class _Heard:
    """An instance and when it last reported, by the own clock."""

    instance: EntryInstance
    at_s: float


class InstanceMembership:
    """Owns this instance's report and what is known of the others.

    Parameters
    ----------
    own
        This instance.
    ports
        Whom to talk to.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        own: EntryInstance,
        ports: InstanceMembershipPorts,
        clock: Clock,
    ) -> None:
        """Start alone."""
        self._own = own
        self._ports = ports
        self._clock = clock
        self._heard: dict[NodeName, _Heard] = {}
        self._suspects: frozenset[TargetName] = frozenset()
        self._told: tuple[EntryInstance, ...] = ()
        self._is_heard = False
        self._next_s = 0.0

    def on_start(self) -> None:
        """Tell of this instance before the first report."""
        self._tell((self._own,))

    def on_message(self, message: InstanceMembershipMessage) -> None:
        """Take a report, a suspicion or the end of this instance."""
        match message:
            case ReportReceived():
                message.reply.post(self._answer(message.report))
            case TargetsSuspected():
                self._suspects |= message.targets
                soon_s = self._clock.now_s() + SOON_S
                self._next_s = min(self._next_s, soon_s)
            case InstanceLeaving():
                self._own = replace(self._own, is_leaving=True)
                self._next_s = 0

    def on_timer(self) -> float | None:
        """Report.

        Returns
        -------
        float
            Seconds until the next report.

        """
        now_s = self._clock.now_s()
        if now_s < self._next_s:
            return self._next_s - now_s
        self._next_s = now_s + REPORT_S
        report = EntryReport(self._own, self._suspects)
        self._suspects = frozenset()
        ownership = self._ports.ownership.latest()
        if ownership.is_own:
            self._take(report)
            self._tell(self._living())
        elif ownership.address:
            self._report(ownership, report)
        return max(0, self._next_s - self._clock.now_s())

    def on_stop(self) -> None:
        """Fall silent."""

    def _answer(self, report: EntryReport) -> MembershipSnapshot | None:
        ownership = self._ports.ownership.latest()
        if not ownership.is_own:
            return None
        self._take(report)
        return MembershipSnapshot(
            ownership.term, ownership.renewal_version, self._living()
        )

    def _take(self, report: EntryReport) -> None:
        now_s = self._clock.now_s()
        self._heard[report.instance.node] = _Heard(report.instance, now_s)
        if report.suspects:
            self._ports.owner.post(TargetsSuspected(report.suspects))

    def _living(self) -> tuple[EntryInstance, ...]:
        oldest_s = self._clock.now_s() - SILENT_S
        self._heard = {
            node: heard
            for node, heard in self._heard.items()
            if heard.at_s >= oldest_s
        }
        return tuple(heard.instance for heard in self._heard.values())

    def _report(self, ownership: OwnershipStatus, report: EntryReport) -> None:
        answer = self._ports.link.report(ownership.address, report)
        if isinstance(answer, Failure):
            self._suspects |= report.suspects
            error = answer.failure()
            if self._is_heard:
                _log.warning(
                    'the owner does not answer: %s',
                    error.message,
                    extra={'term': ownership.term, 'owner': ownership.address},
                )
            self._is_heard = False
            self._ports.owner.post(
                OwnerAnswerMissed(ownership.term, error.is_refused)
            )
            return
        if not self._is_heard:
            _log.info('the owner answers', extra={'term': ownership.term})
        self._is_heard = True
        roll = answer.unwrap()
        now_s = self._clock.now_s()
        # After a succession the roll starts with who lived before.
        self._heard = {
            instance.node: _Heard(instance, now_s)
            for instance in roll.instances
        }
        self._ports.owner.post(
            OwnerAnswerReceived(roll.term, roll.renewal_version)
        )
        self._tell(roll.instances)

    def _tell(self, living: tuple[EntryInstance, ...]) -> None:
        if living == self._told:
            return
        self._told = living
        _log.info(
            'living instances',
            extra={'entries': [instance.node for instance in living]},
        )
        for listener in self._ports.listeners:
            listener.post(InstancesObserved(living))
