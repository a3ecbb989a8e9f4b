"""In-memory implementation of the platform protocols."""

from returns.result import Failure, Result, Success

from ..model.ids import ABSENT_ROW, RowVersion
from ..model.topology import Instance
from ..tables.protocols import (
    Committed,
    Condition,
    PlatformError,
    PlatformFault,
    Row,
    RowKey,
    Transaction,
)


class MemoryPlatform:
    """Tables, objects and the instance list in memory.

    Not thread-safe; in the HTTP stand-in one task owns it.
    """

    def __init__(self) -> None:
        """Start empty; calls fail while ``fault`` is set."""
        self.fault: PlatformError | None = None
        self.listed: tuple[Instance, ...] = ()
        self._rows: dict[RowKey, Row] = {}
        self._objects: dict[str, bytes] = {}
        self._count = 0

    def read(self, key: RowKey) -> Result[Row | None, PlatformError]:
        """Read a row; ``None`` when absent."""
        if self.fault:
            return Failure(self.fault)
        return Success(self._rows.get(key))

    def scan(
        self,
        table: str,
        prefix: str = '',
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Read all rows whose keys start with a prefix, sorted by key."""
        if self.fault:
            return Failure(self.fault)
        found = [
            row
            for key, row in self._rows.items()
            if key.table == table and key.key.startswith(prefix)
        ]
        return Success(tuple(sorted(found, key=_by_key)))

    def commit(
        self,
        transaction: Transaction,
    ) -> Result[Committed, PlatformError]:
        """Apply all writes if all conditions hold, else none."""
        if self.fault:
            return Failure(self.fault)
        conflicts = self.conflicts(transaction)
        if conflicts:
            named = ', '.join(f'{at.table}/{at.key}' for at in conflicts)
            return Failure(PlatformError(PlatformFault.CONFLICT, named))
        self._count += 1
        for write in transaction.writes:
            self._store(write.key, write.text, transaction.transaction)
        version = RowVersion(self._count)
        return Success(Committed((version,) * len(transaction.writes)))

    def conflicts(self, transaction: Transaction) -> tuple[RowKey, ...]:
        """Return the keys of the conditions that do not hold."""
        return tuple(
            condition.key
            for condition in transaction.conditions
            if not self._holds(condition)
        )

    def version(self, key: RowKey) -> RowVersion:
        """Return the version of a row; zero when absent."""
        row = self._rows.get(key)
        return row.version if row else ABSENT_ROW

    def put(self, name: str, body: bytes) -> Result[None, PlatformError]:
        """Store an object, replacing one of the same name."""
        if self.fault:
            return Failure(self.fault)
        self._objects[name] = body
        return Success(None)

    def get(self, name: str) -> Result[bytes | None, PlatformError]:
        """Return an object; ``None`` when absent."""
        if self.fault:
            return Failure(self.fault)
        return Success(self._objects.get(name))

    def instances(self) -> Result[tuple[Instance, ...], PlatformError]:
        """Return the instance list as last published."""
        if self.fault:
            return Failure(self.fault)
        return Success(self.listed)

    def _holds(self, condition: Condition) -> bool:
        return self.version(condition.key) == condition.version

    def _store(self, key: RowKey, text: str | None, transaction: str) -> None:
        if text is None:
            self._rows.pop(key, None)
            return
        version = RowVersion(self._count)
        self._rows[key] = Row(key, version, text, transaction)


def _by_key(row: Row) -> str:
    return row.key.key
