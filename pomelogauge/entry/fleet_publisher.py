"""The task that merges all reads into the published state of the fleet."""

from dataclasses import replace
from enum import Enum, auto

from returns.result import Failure

from ..model.fleet import Fleet
from ..model.log_parts import Part
from ..model.rows import StoredRow
from ..model.store_version import ABSENT_ROW, StoreVersion
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .codecs import TargetRows
from .drain_list import DrainList
from .messages import (
    FleetChanged,
    FleetPublisherMessage,
    InstancesObserved,
    PartsJudged,
    TableRead,
    TableReadFailed,
)
from .store import Table
from .target_list import TargetList

_log = part_logger(Part.STORE)


class _Following(Enum):
    """How a read follows what is known of its table.

    ``NOT``: it is older, or does not show what a restore has lost.
    ``AFTER_RESTORE``: it is the first one after the store was put back.
    """

    NOT = auto()
    DIRECTLY = auto()
    AFTER_RESTORE = auto()


class FleetPublisher:
    """Applies reads to the state of the fleet and publishes it.

    Reads may come late and from two sources, the store and the owner; an
    older one never replaces what a newer one gave.

    Parameters
    ----------
    rows
        Decodes rows.
    published_fleet
        Written by this task only; read by all others.
    listeners
        Tasks that are notified of changes.
    clock
        Local clock; it goes on during a suspension of the machine.

    """

    def __init__(
        self,
        rows: TargetRows,
        published_fleet: Published[Fleet],
        listeners: tuple[Outbox[FleetChanged], ...],
        clock: Clock,
    ) -> None:
        """Start with an empty fleet."""
        self._rows = rows
        self._published_fleet = published_fleet
        self._listeners = listeners
        self._clock = clock
        self._targets = TargetList(rows)
        self._drains = DrainList(rows)
        self._versions: dict[Table, StoreVersion] = {}
        #: Tables whose last read did not follow what was known.
        self._left_out: set[Table] = set()

    def on_start(self) -> None:
        """Do nothing; this task owns no connection."""

    def on_message(self, message: FleetPublisherMessage) -> None:
        """Apply a read or the new set of living instances."""
        match message:
            case TableRead(table=Table.OPERATOR):
                self._apply_operator(message)
            case TableRead(table=Table.TARGETS):
                self._apply_targets(message)
            case InstancesObserved():
                fleet = self._published_fleet.latest()
                self._publish(
                    replace(
                        fleet,
                        instances=message.instances,
                        lists_all=message.is_listed,
                    )
                )
            case PartsJudged():
                fleet = self._published_fleet.latest()
                self._published_fleet.publish(
                    replace(fleet, parts=message.verdicts)
                )
            case TableReadFailed() | TableRead():
                return

    def on_timer(self) -> float | None:
        """Apply what waited for the end of a grace period.

        Returns
        -------
        float or None
            Seconds until more is due; ``None`` without more.

        """
        now_s = self._clock.now_s()
        if self._targets.expire(now_s):
            self._publish_targets(self._published_fleet.latest())
        if self._drains.expire(now_s):
            self._publish(self._with_drains(self._published_fleet.latest()))
        due_s = (self._targets.due_s(now_s), self._drains.due_s(now_s))
        return min((due for due in due_s if due is not None), default=None)

    def on_stop(self) -> None:
        """Do nothing; this task owns no connection."""

    def _take(self, read: TableRead) -> _Following:
        """Return how a read follows what is known of its table.

        Changes of a later era of the store do not show which rows it has lost;
        a read of the whole table does.
        """
        known = self._versions.get(read.table, ABSENT_ROW)
        version = read.rows.version
        is_other_era = version.era != known.era
        if version < known or (is_other_era and not read.is_whole):
            self._log_left_out(read, known)
            return _Following.NOT
        self._versions[read.table] = version
        self._left_out.discard(read.table)
        if is_other_era and known != ABSENT_ROW:
            return _Following.AFTER_RESTORE
        return _Following.DIRECTLY

    def _log_left_out(self, read: TableRead, known: StoreVersion) -> None:
        if read.table in self._left_out:
            return
        self._left_out.add(read.table)
        _log.info(
            'a read of table %s does not follow the known one: not used',
            read.table,
            extra={
                'row_version': str(read.rows.version),
                'known': str(known),
                'rows': len(read.rows.rows),
                'whole': read.is_whole,
            },
        )

    def _apply_operator(self, read: TableRead) -> None:
        following = self._take(read)
        if following is _Following.NOT:
            return
        fleet = self._published_fleet.latest()
        confirmed_s = max(fleet.confirmed_s, read.as_of_s)
        fleet = replace(fleet, confirmed_s=confirmed_s)
        drains = []
        for row in read.rows.rows:
            if self._rows.is_configuration(row.key):
                fleet = self._with_configuration(fleet, row)
            else:
                drains.append(row)
        now_s = self._clock.now_s()
        if following is _Following.AFTER_RESTORE:
            self._drains.begin_grace(now_s)
        self._drains.apply(tuple(drains), now_s, is_whole=read.is_whole)
        fleet = self._with_drains(fleet)
        if read.rows.rows:
            self._publish(fleet)
        else:
            self._published_fleet.publish(fleet)

    def _with_drains(self, fleet: Fleet) -> Fleet:
        drained = self._drains.drained()
        if drained != fleet.drained:
            _log.info(
                'data centres out of service are now: %s', sorted(drained)
            )
        return replace(fleet, drained=drained)

    def _with_configuration(self, fleet: Fleet, row: StoredRow) -> Fleet:
        if row.body is None:
            return fleet
        decoded = self._rows.configuration(row.body)
        if isinstance(decoded, Failure):
            _log.error(
                'configuration in row version %s is malformed and not used: %s',
                row.version,
                decoded.failure(),
            )
            return fleet
        config = decoded.unwrap()
        if fleet.config is not None and config.version < fleet.config.version:
            _log.warning(
                'configuration version %s is older than %s and not used',
                config.version,
                fleet.config.version,
            )
            return fleet
        _log.info('configuration version %s is in force', config.version)
        return replace(fleet, config=config)

    def _apply_targets(self, read: TableRead) -> None:
        following = self._take(read)
        if following is _Following.NOT:
            return
        now_s = self._clock.now_s()
        is_restored = following is _Following.AFTER_RESTORE
        if read.was_away or is_restored:
            self._targets.begin_grace(now_s)
        self._targets.apply(
            read.rows, now_s, is_whole=read.is_whole, is_restored=is_restored
        )
        self._publish_targets(self._published_fleet.latest())

    def _publish_targets(self, fleet: Fleet) -> None:
        self._publish(
            replace(fleet, targets=dict(self._targets.targets), can_serve=True)
        )

    def _publish(self, fleet: Fleet) -> None:
        self._published_fleet.publish(fleet)
        for listener in self._listeners:
            listener.post(FleetChanged())
