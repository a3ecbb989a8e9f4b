"""Messages to the task that owns the state of the platform stand-in."""

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
    """Fault mode of the platform."""

    UP = 'up'
    DOWN = 'down'
    HANG = 'hang'
    SLOW = 'slow'
    LOSE_ANSWER = 'lose_answer'


@dataclass(frozen=True)
class PlatformMode:
    """Fault mode with its parameters.

    Parameters
    ----------
    mode
        Fault that is simulated.
    delay_s
        Delay of each call in seconds, in mode ``slow``.
    count
        Number of writes that take effect but get no response.
    table
        Only writes to this table lose their response; empty for all.

    """

    mode: PlatformModeName = PlatformModeName.UP
    delay_s: float = 0
    count: int = 1
    table: str = ''


class NotAnswered(StrEnum):
    """Why a call gets no regular response."""

    CUT = 'cut'
    HELD = 'held'
    DOWN = 'down'


class Query(Protocol[ResultT]):
    """A call to the store."""

    def run(self, store: MemoryPlatform) -> ResultT:
        """Run in the task that owns the store."""


@dataclass(frozen=True)
class ReadRow:
    """Query for one row."""

    key: RowKey

    def run(self, store: MemoryPlatform) -> Row | None:
        """Return the row; ``None`` when absent."""
        return store.read(self.key).unwrap()


@dataclass(frozen=True)
class ScanRows:
    """Query for all rows of a table with a key prefix."""

    table: str
    prefix: str

    def run(self, store: MemoryPlatform) -> tuple[Row, ...]:
        """Return the rows sorted by key."""
        return store.scan(self.table, self.prefix).unwrap()


@dataclass(frozen=True)
class Conflicts:
    """Conditions that did not hold, with the versions found."""

    conflicts: tuple[Conflict, ...]


@dataclass(frozen=True)
class CommitRows:
    """Conditional write of rows."""

    transaction: Transaction

    def run(self, store: MemoryPlatform) -> Committed | Conflicts:
        """Write all rows if all conditions hold, else none."""
        keys = store.conflicts(self.transaction)
        if keys:
            found = tuple(Conflict(key, store.version(key)) for key in keys)
            return Conflicts(found)
        return store.commit(self.transaction).unwrap()

    def writes_to(self, table: str) -> bool:
        """Return whether a row of the table is written; empty matches any."""
        tables = {write.key.table for write in self.transaction.writes}
        return not table or table in tables


@dataclass(frozen=True)
class PutObject:
    """Write of an object."""

    name: str
    body: bytes

    def run(self, store: MemoryPlatform) -> None:
        """Store the object."""
        store.put(self.name, self.body).unwrap()


@dataclass(frozen=True)
class GetObject:
    """Query for an object."""

    name: str

    def run(self, store: MemoryPlatform) -> bytes | None:
        """Return the object; ``None`` when absent."""
        return store.get(self.name).unwrap()


@dataclass(frozen=True)
class ListInstances:
    """Query for the instance list."""

    def run(self, store: MemoryPlatform) -> tuple[Instance, ...]:
        """Return the list as published, which lags behind changes."""
        return store.listed


@dataclass(frozen=True)
class QueryResult(Generic[OutcomeT]):
    """Outcome of a query that was run."""

    outcome: OutcomeT


@dataclass(frozen=True)
class Call(Generic[OutcomeT]):
    """Requests the outcome of a query."""

    client: str
    query: Query[OutcomeT]
    reply: Outbox[QueryResult[OutcomeT] | NotAnswered]


@dataclass(frozen=True)
class ConnectionHeld:
    """Hands over a connection that is held open without a response."""

    connection: HTTPConnection


@dataclass(frozen=True)
class ModeSet:
    """Sets the fault mode."""

    mode: PlatformMode


@dataclass(frozen=True)
class BlockedClientsSet:
    """Replaces the set of blocked clients."""

    clients: frozenset[str]


@dataclass(frozen=True)
class InstancesSet:
    """Adds instances or replaces them by name."""

    instances: tuple[Instance, ...]


@dataclass(frozen=True)
class InstanceRemoved:
    """Removes an instance from the list."""

    name: InstanceName


@dataclass(frozen=True)
class InstanceLeaving:
    """Marks an instance as leaving."""

    name: InstanceName


@dataclass(frozen=True)
class PlatformStats:
    """Counts of calls that were run, and the peaks within one second."""

    reads: int = 0
    writes: int = 0
    peak_reads_s: int = 0
    peak_writes_s: int = 0
    conflicts: int = 0


@dataclass(frozen=True)
class StatsRequested:
    """Requests the counts."""

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
