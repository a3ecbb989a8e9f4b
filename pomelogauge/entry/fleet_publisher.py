"""The task that joins all that was read into one picture of the fleet."""

import math
from collections import deque
from dataclasses import dataclass, replace

from returns.result import Failure

from ..model.errors import FindingsError
from ..model.fleet import Fleet, Target
from ..model.ids import ABSENT_ROW, DataCentreName, RowVersion, TargetName
from ..model.log_parts import Part
from ..model.rows import StoredRow
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Outbox
from ..tasks.published import Published
from .codecs import TargetRows
from .messages import (
    FleetChanged,
    FleetPublisherMessage,
    InstancesObserved,
    TableRead,
    TableReadFailed,
)
from .store import Table

#: Seconds for which an entry that lapsed while the store was away may come
#: back: the platform says about two.
RELISTING_GRACE_S = 2.2

_log = part_logger(Part.STORE)


@dataclass(frozen=True)
class _Lapse:
    """A target that is gone unless it is listed again in time."""

    name: TargetName
    until_s: float


class FleetPublisher:
    """Owns the picture; publishes a new one with every change.

    Parameters
    ----------
    rows
        Decodes rows.
    published_fleet
        Where the picture is published.
    listeners
        Who is told of changes.
    clock
        Own clock, suspensions included.

    """

    def __init__(
        self,
        rows: TargetRows,
        published_fleet: Published[Fleet],
        listeners: tuple[Outbox[FleetChanged], ...],
        clock: Clock,
    ) -> None:
        """Start with an empty picture."""
        self._rows = rows
        self._published_fleet = published_fleet
        self._listeners = listeners
        self._clock = clock
        self._targets: dict[TargetName, Target] = {}
        self._drained: dict[str, DataCentreName] = {}
        self._lapses: deque[_Lapse] = deque()
        self._grace_until_s = float('-inf')
        self._versions: dict[Table, RowVersion] = {}

    def on_start(self) -> None:
        """Own nothing that must be opened."""

    def on_message(self, message: FleetPublisherMessage) -> None:
        """Take in what was read."""
        match message:
            case TableRead(table=Table.OPERATOR):
                self._take_operator(message)
            case TableRead(table=Table.TARGETS):
                self._take_targets(message)
            case InstancesObserved():
                fleet = self._published_fleet.latest()
                self._publish(replace(fleet, instances=message.instances))
            case TableReadFailed(table=Table.TARGETS):
                fleet = self._published_fleet.latest()
                self._published_fleet.publish(
                    replace(fleet, listed_since_s=math.inf)
                )
            case TableReadFailed() | TableRead():
                return

    def on_timer(self) -> float | None:
        """Drop targets that have not come back.

        Returns
        -------
        float or None
            Seconds until the next one is due.

        """
        now_s = self._clock.now_s()
        dropped = False
        while self._lapses and self._lapses[0].until_s <= now_s:
            lapse = self._lapses.popleft()
            self._targets.pop(lapse.name, None)
            dropped = True
            _log.info('target %s has not come back', lapse.name)
        if dropped:
            self._publish_targets(self._published_fleet.latest())
        if self._lapses:
            return max(0, self._lapses[0].until_s - now_s)
        return None

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _is_old(self, read: TableRead) -> bool:
        """Return whether a newer state of the table has been taken in."""
        known = self._versions.get(read.table, ABSENT_ROW)
        self._versions[read.table] = max(known, read.rows.version)
        return read.rows.version < known

    def _take_operator(self, read: TableRead) -> None:
        if self._is_old(read):
            return
        fleet = self._published_fleet.latest()
        confirmed_s = max(fleet.confirmed_s, read.began_s)
        fleet = replace(fleet, confirmed_s=confirmed_s)
        if read.is_whole:
            self._drained = {}
        for row in read.rows.rows:
            if self._rows.is_configuration(row.key):
                fleet = self._with_configuration(fleet, row)
            else:
                self._take_drain(row)
        drained = frozenset(self._drained.values())
        if drained != fleet.drained:
            _log.info('data centres out of service: %s', sorted(drained))
        fleet = replace(fleet, drained=drained)
        if read.rows.rows:
            self._publish(fleet)
        else:
            self._published_fleet.publish(fleet)

    def _with_configuration(self, fleet: Fleet, row: StoredRow) -> Fleet:
        if row.body is None:
            return fleet
        decoded = self._rows.configuration(row.body)
        if isinstance(decoded, Failure):
            _log.error(
                'configuration of row version %s is not used: %s',
                row.version,
                decoded.failure(),
            )
            return fleet
        config = decoded.unwrap()
        if fleet.config is not None and config.version < fleet.config.version:
            _log.warning('configuration %s is old', config.version)
            return fleet
        _log.info('configuration %s is in force', config.version)
        return replace(fleet, config=config)

    def _take_drain(self, row: StoredRow) -> None:
        name = self._rows.drained_data_centre(row.key)
        if name is None:
            return
        if row.body is None:
            self._drained.pop(row.key, None)
        else:
            self._drained[row.key] = name

    def _take_targets(self, read: TableRead) -> None:
        if self._is_old(read):
            return
        now_s = self._clock.now_s()
        if read.was_away:
            self._grace_until_s = now_s + RELISTING_GRACE_S
        named = set()
        for row in read.rows.rows:
            named.add(TargetName(row.key))
            self._take_target(row, now_s)
        if read.is_whole:
            for name in tuple(self._targets.keys() - named):
                self._lapse(name, now_s)
        fleet = self._published_fleet.latest()
        since_s = min(fleet.listed_since_s, now_s)
        self._publish_targets(
            replace(
                fleet,
                listed_s=max(fleet.listed_s, read.began_s),
                listed_since_s=since_s,
            )
        )

    def _take_target(self, row: StoredRow, now_s: float) -> None:
        name = TargetName(row.key)
        if row.body is None:
            self._lapse(name, now_s)
            return
        known = self._targets.get(name)
        if known is not None and row.version < known.version:
            return
        self._keep(name)
        decoded = self._rows.target(row.key, row.body, row.version, now_s)
        if isinstance(decoded, Failure):
            self._refuse(name, row, decoded.failure())
            return
        self._targets[name] = decoded.unwrap()

    def _refuse(
        self,
        name: TargetName,
        row: StoredRow,
        error: FindingsError,
    ) -> None:
        """Leave out a target whose entry can't be read."""
        _log.warning(
            'target %s, row version %s, is not used: %s',
            name,
            row.version,
            error,
        )
        self._targets.pop(name, None)

    def _lapse(self, name: TargetName, now_s: float) -> None:
        if now_s < self._grace_until_s:
            self._lapses.append(_Lapse(name, self._grace_until_s))
            return
        if self._targets.pop(name, None) is not None:
            _log.info('target %s is gone', name)

    def _keep(self, name: TargetName) -> None:
        if self._lapses:
            self._lapses = deque(
                lapse for lapse in self._lapses if lapse.name != name
            )

    def _publish_targets(self, fleet: Fleet) -> None:
        self._publish(
            replace(fleet, targets=dict(self._targets), can_serve=True)
        )

    def _publish(self, fleet: Fleet) -> None:
        self._published_fleet.publish(fleet)
        for listener in self._listeners:
            listener.post(FleetChanged())
