"""The data centres that the operators have taken out of service."""

from collections.abc import Sequence

from ..model.ids import DataCentreName
from ..model.rows import StoredRow
from .codecs import TargetRows
from .target_list import RELISTING_GRACE_S


class DrainList:
    """Drained data centres; used by the task that publishes the fleet.

    Parameters
    ----------
    rows
        Decodes the keys of rows.

    """

    def __init__(self, rows: TargetRows) -> None:
        """Start with all data centres in service."""
        self._rows = rows
        self._drained: dict[str, DataCentreName] = {}
        self._grace_until_s = float('-inf')
        #: Rows that are missing since a restore, and until when they count.
        self._missing_until: dict[str, float] = {}

    def begin_grace(self, now_s: float) -> None:
        """Begin the time in which lost rows may be written again."""
        self._grace_until_s = now_s + RELISTING_GRACE_S

    def apply(
        self, rows: Sequence[StoredRow], now_s: float, *, is_whole: bool
    ) -> None:
        """Apply the rows of a read; other rows are ignored.

        Parameters
        ----------
        rows
            Rows that were read.
        now_s
            Current time of the local clock.
        is_whole
            Whether rows that are missing have been removed.

        """
        listed = {row.key for row in rows if row.body is not None}
        if is_whole:
            for key in self._drained.keys() - listed:
                self._missing_until.setdefault(key, self._grace_until_s)
        for row in rows:
            name = self._rows.drained_data_centre(row.key)
            if name is None:
                continue
            self._missing_until.pop(row.key, None)
            if row.body is None:
                self._drained.pop(row.key, None)
            else:
                self._drained[row.key] = name
        self.expire(now_s)

    def expire(self, now_s: float) -> bool:
        """Forget rows that were not written again; return whether any."""
        expired = [
            key
            for key, until_s in self._missing_until.items()
            if until_s <= now_s
        ]
        for key in expired:
            self._missing_until.pop(key)
            self._drained.pop(key)
        return bool(expired)

    def due_s(self, now_s: float) -> float | None:
        """Return the seconds until a missing row is forgotten, if any."""
        if not self._missing_until:
            return None
        return max(0, min(self._missing_until.values()) - now_s)

    def drained(self) -> frozenset[DataCentreName]:
        """Return the data centres that are out of service."""
        return frozenset(self._drained.values())
