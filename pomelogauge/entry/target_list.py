"""The targets as the store lists them, over its outages and restores."""

from dataclasses import dataclass

from returns.result import Failure

from ..model.errors import FindingsError
from ..model.fleet import Target, TargetState
from ..model.ids import TargetName
from ..model.log_parts import Part
from ..model.rows import Rows, StoredRow
from ..tasks.log import part_logger
from .codecs import TargetRows

#: Seconds within which a target that expired during an outage of the store may
#: be listed again. The platform states about two. As long, a row that a restore
#: has brought back and that says less than is known may be written again.
RELISTING_GRACE_S = 2.2
#: Seconds for which a target that was removed is remembered: a copy from which
#: the store is put back is some seconds old.
REMOVED_S = 60.0

_log = part_logger(Part.STORE)


@dataclass(frozen=True)
class _PendingRow:
    """A row that takes effect later; without a body for a removal."""

    row: StoredRow
    until_s: float


@dataclass(frozen=True)
class _Removed:
    """A target that is not listed any more."""

    started_at_ms: int
    at_s: float


class TargetList:
    """Targets by name; used by the task that publishes the fleet.

    Parameters
    ----------
    rows
        Decodes rows.

    """

    def __init__(self, rows: TargetRows) -> None:
        """Start without targets."""
        self._rows = rows
        self._removed: dict[TargetName, _Removed] = {}
        self._grace_until_s = float('-inf')
        self._pending: dict[TargetName, _PendingRow] = {}
        self.targets: dict[TargetName, Target] = {}

    def begin_grace(self, now_s: float) -> None:
        """Begin the grace period after an outage or a restore."""
        self._grace_until_s = now_s + RELISTING_GRACE_S

    def apply(
        self, read: Rows, now_s: float, *, is_whole: bool, is_restored: bool
    ) -> None:
        """Apply a read.

        Parameters
        ----------
        read
            Rows that were read.
        now_s
            Current time of the local clock.
        is_whole
            Whether targets that are missing are not listed any more.
        is_restored
            Whether this is the first read after the store was put back. Rows
            of the copy that say less than is known wait for the grace period.

        """
        for row in read.rows:
            self._apply_row(row, now_s, is_restored=is_restored)
        if is_whole:
            listed = {TargetName(read_row.key) for read_row in read.rows}
            known = self.targets.keys() | self._pending.keys()
            for name in known - listed:
                missing = StoredRow(name, read.version, None)
                self._apply_row(missing, now_s, is_restored=False)

    def expire(self, now_s: float) -> bool:
        """Apply pending rows whose time has come; return whether any did."""
        due = [
            name
            for name, pending in self._pending.items()
            if pending.until_s <= now_s
        ]
        for name in due:
            row = self._pending.pop(name).row
            if row.body is None:
                self._remove(name, now_s)
            else:
                self._apply_row(row, now_s, is_restored=False)
        return bool(due)

    def due_s(self, now_s: float) -> float | None:
        """Return the seconds until pending rows take effect, if any."""
        if not self._pending:
            return None
        until_s = min(pending.until_s for pending in self._pending.values())
        return max(0, until_s - now_s)

    def _apply_row(
        self, row: StoredRow, now_s: float, *, is_restored: bool
    ) -> None:
        name = TargetName(row.key)
        known = self.targets.get(name)
        if known is not None and row.version < known.version:
            return
        if row.body is None:
            self._remove_or_defer(row, now_s)
            return
        self._pending.pop(name, None)
        decoded = self._rows.target(row.key, row.body, row.version, now_s)
        if isinstance(decoded, Failure):
            self._leave_out(name, row, decoded.failure())
            return
        target: Target = decoded.unwrap()
        if is_restored and self._is_outdated(target, now_s):
            self._defer(row)
        else:
            self.targets[name] = target

    def _defer(self, row: StoredRow) -> None:
        pending = _PendingRow(row, self._grace_until_s)
        self._pending.setdefault(TargetName(row.key), pending)

    def _remove_or_defer(self, row: StoredRow, now_s: float) -> None:
        name = TargetName(row.key)
        pending = self._pending.get(name)
        if pending is not None and pending.row.body is not None:
            self._pending.pop(name)
        if now_s < self._grace_until_s and name in self.targets:
            self._defer(row)
        else:
            self._remove(name, now_s)

    def _remove(self, name: TargetName, now_s: float) -> None:
        target = self.targets.pop(name, None)
        if target is None:
            return
        self._removed = {
            other: removed
            for other, removed in self._removed.items()
            if now_s - removed.at_s <= REMOVED_S
        }
        self._removed[name] = _Removed(target.started_at_ms, now_s)
        _log.info('target %s is no longer listed', name)

    def _leave_out(
        self,
        name: TargetName,
        row: StoredRow,
        error: FindingsError,
    ) -> None:
        """Leave out a target whose row is malformed."""
        _log.warning(
            'target %s in row version %s is malformed and not used: %s',
            name,
            row.version,
            error,
        )
        self.targets.pop(name, None)

    def _is_outdated(self, target: Target, now_s: float) -> bool:
        """Return whether more is known of a target than a restored row says.

        That it has started again since, that it drains, or that it has gone.
        """
        known = self.targets.get(target.name)
        if known is None:
            removed = self._removed.get(target.name)
            return (
                removed is not None
                and now_s - removed.at_s <= REMOVED_S
                and target.started_at_ms <= removed.started_at_ms
            )
        if target.started_at_ms != known.started_at_ms:
            return target.started_at_ms < known.started_at_ms
        return (
            known.state is TargetState.DRAINING
            and target.state is not TargetState.DRAINING
        )
