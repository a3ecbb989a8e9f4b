"""Messages to the task that owns the stand-in platform's state."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Generic, Protocol, TypeVar

from cheroot.server import HTTPConnection

from ..model.ids import InstanceName
from ..model.topology import Instance
from ..tables.protocols import Committed, Row, RowKey, Transaction
from ..tasks.mailbox import Outbox
from ..wire.platform_json import Conflict
from .memory_platform import MemoryPlatform

OutcomeT = TypeVar('OutcomeT')
ResultT = TypeVar('ResultT', covariant=True)


class PlatformModeName(StrEnum):
    """How the platform misbehaves."""

    UP = 'up'
    DOWN = 'down'
    HANG = 'hang'
    SLOW = 'slow'
    LOSE_ANSWER = 'lose_answer'


@dataclass(frozen=True)
class PlatformMode:
    """Mode with its parameters.

    Parameters
    ----------
    mode
        The mode.
    delay_s
        Seconds before each call, when slow.
    count
        Number of writes whose answers are lost.
    table
        Only writes to this table lose their answers; empty for all.

    """

    mode: PlatformModeName = PlatformModeName.UP
    delay_s: float = 0
    count: int = 1
    table: str = ''


class NotAnswered(StrEnum):
    """What happens to a call that is not answered."""

    CUT = 'cut'
    HELD = 'held'
    DOWN = 'down'


class Query(Protocol[ResultT]):
    """One call to the store."""

    def run(self, store: MemoryPlatform) -> ResultT:
        """Run the call in the task that owns the store."""


@dataclass(frozen=True)
class ReadRow:
    """Reads one row."""

    key: RowKey

    def run(self, store: MemoryPlatform) -> Row | None:
        """Return the row; ``None`` when absent."""
        return store.read(self.key).unwrap()


@dataclass(frozen=True)
class ScanRows:
    """Reads all rows with a prefix."""

    table: str
    prefix: str

    def run(self, store: MemoryPlatform) -> tuple[Row, ...]:
        """Return the rows by key."""
        return store.scan(self.table, self.prefix).unwrap()


@dataclass(frozen=True)
class Conflicts:
    """Conditions that did not hold."""

    conflicts: tuple[Conflict, ...]


@dataclass(frozen=True)
class CommitRows:
    """Writes rows if all conditions hold."""

    transaction: Transaction

    def run(self, store: MemoryPlatform) -> Committed | Conflicts:
        """Write all rows or none."""
        keys = store.conflicts(self.transaction)
        if keys:
            found = tuple(Conflict(key, store.version(key)) for key in keys)
            return Conflicts(found)
        return store.commit(self.transaction).unwrap()

    def writes_to(self, table: str) -> bool:
        """Tell whether a row of a table is written; empty for any."""
        tables = {write.key.table for write in self.transaction.writes}
        return not table or table in tables


@dataclass(frozen=True)
class PutObject:
    """Stores an object."""

    name: str
    body: bytes

    def run(self, store: MemoryPlatform) -> None:
        """Store the object."""
        store.put(self.name, self.body).unwrap()


@dataclass(frozen=True)
class GetObject:
    """Reads an object."""

    name: str

    def run(self, store: MemoryPlatform) -> bytes | None:
        """Return the object; ``None`` when absent."""
        return store.get(self.name).unwrap()


@dataclass(frozen=True)
class ListInstances:
    """Reads the instance list."""

    def run(self, store: MemoryPlatform) -> tuple[Instance, ...]:
        """Return the list as it was some time ago."""
        return store.listed


@dataclass(frozen=True)
class QueryResult(Generic[OutcomeT]):
    """Outcome of a query."""

    outcome: OutcomeT


@dataclass(frozen=True)
class Call(Generic[OutcomeT]):
    """A thread of the server asks for the outcome of a query."""

    client: str
    query: Query[OutcomeT]
    reply: Outbox[QueryResult[OutcomeT] | NotAnswered]


@dataclass(frozen=True)
class ConnectionHeld:
    """A connection that stays open without an answer."""

    connection: HTTPConnection


@dataclass(frozen=True)
class ModeSet:
    """The platform enters another mode."""

    mode: PlatformMode


@dataclass(frozen=True)
class BlockedClientsSet:
    """Only these nodes are cut off."""

    clients: frozenset[str]


@dataclass(frozen=True)
class InstancesSet:
    """Instances are added or replaced by name."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True)
class InstanceRemoved:
    """An instance has gone."""

    name: InstanceName


@dataclass(frozen=True)
class InstanceLeaving:
    """An instance is going to leave."""

    name: InstanceName


@dataclass(frozen=True)
class PlatformStats:
    """Counts of the calls that took effect."""

    reads: int = 0
    writes: int = 0
    peak_reads_s: int = 0
    peak_writes_s: int = 0
    conflicts: int = 0


@dataclass(frozen=True)
class StatsRequested:
    """A test asks for the counts."""

    reply: Outbox[PlatformStats]


PlatformMessage = (
    Call[Any]
    | ConnectionHeld
    | ModeSet
    | BlockedClientsSet
    | InstancesSet
    | InstanceRemoved
    | InstanceLeaving
    | StatsRequested
)
