"""Reads an installation from outside and records what it sees."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any, TypeVar

from returns.pipeline import is_successful
from returns.result import Result

from ..engines.http_control import HttpEngineControl
from ..model.ids import Address, NodeName
from ..model.placement import Lease, Membership, Replica
from ..tables.http_platform import HttpPlatform
from ..tables.protocols import Row
from ..tasks.mailbox import Outbox
from ..tasks.messages import NodeStatus
from ..wire.peer_client import GrpcLinks
from ..wire.rows import (
    LEASES,
    MEMBERS,
    REPLICAS,
    RowError,
    decode_lease,
    decode_membership,
    decode_replica,
)
from .record import (
    EngineSeen,
    LeaseRowSeen,
    MemberRowSeen,
    ReplicaRowSeen,
    VersionSeen,
)
from .recorder import Recorder

RecordT = TypeVar('RecordT')
EventT = TypeVar('EventT')

#: Name under which stand-ins and processes see the tool.
OBSERVER = NodeName('observer')
#: Deadline of one reading, in seconds.
READ_TIMEOUT_S = 0.5


class EngineReader:
    """Reads the reports of engines; belongs to one thread."""

    def __init__(self, recorder: Recorder) -> None:
        """Record with this recorder."""
        self._recorder = recorder
        self._control = HttpEngineControl(OBSERVER, READ_TIMEOUT_S)

    def read(self, addresses: Iterable[Address]) -> tuple[EngineSeen, ...]:
        """Return the reports of the engines that answer."""
        return tuple(_posted(self._recorder, self._seen(addresses)))

    def close(self) -> None:
        """Close all connections."""
        self._control.close()

    def _seen(self, addresses: Iterable[Address]) -> Iterator[EngineSeen]:
        for address in addresses:
            asked_at_s = self._recorder.now_s()
            answer = self._control.status(address)
            if is_successful(answer):
                status = answer.unwrap()
                yield EngineSeen(
                    asked_at_s,
                    self._recorder.now_s(),
                    status.instance,
                    status.incarnation,
                    str(status.state),
                    status.replica,
                    status.epoch,
                    status.rank,
                    status.running,
                )


class NodeReader:
    """Reads what routers and controllers say; belongs to one thread."""

    def __init__(self, recorder: Recorder) -> None:
        """Record with this recorder."""
        self._recorder = recorder
        self._links = GrpcLinks(OBSERVER, READ_TIMEOUT_S)

    def read(self, addresses: Iterable[Address]) -> tuple[NodeStatus, ...]:
        """Return the status of the processes that answer."""
        found: list[NodeStatus] = []
        for address in addresses:
            asked_at_s = self._recorder.now_s()
            status = self._links.status(address)
            if is_successful(status):
                found.append(status.unwrap())
                self._record(status.unwrap(), asked_at_s)
        return tuple(found)

    def close(self) -> None:
        """Close all channels."""
        self._links.close()

    def _record(self, status: NodeStatus, asked_at_s: float) -> None:
        report = status.sender
        self._recorder.post(
            VersionSeen(
                asked_at_s,
                self._recorder.now_s(),
                report.node,
                report.incarnation,
                report.version,
                str(report.phase),
            )
        )


class RowReader:
    """Reads the controllers' tables; belongs to one thread."""

    def __init__(self, recorder: Recorder, platform: Address) -> None:
        """Read from this platform."""
        self._recorder = recorder
        self._platform = HttpPlatform(platform, OBSERVER, READ_TIMEOUT_S)

    def members(self) -> tuple[MemberRowSeen, ...]:
        """Read the rows that say which instance is in which replica."""
        return self._read(MEMBERS, decode_membership, self._member)

    def replicas(self) -> tuple[ReplicaRowSeen, ...]:
        """Read the slots of replicas."""
        return self._read(REPLICAS, decode_replica, self._replica)

    def leases(self) -> tuple[LeaseRowSeen, ...]:
        """Read the leases of shards."""
        return self._read(LEASES, decode_lease, self._lease)

    def _read(
        self,
        table: str,
        decode: Callable[[Row], Result[RecordT, RowError]],
        build: Callable[[Row, RecordT, float], EventT],
    ) -> tuple[EventT, ...]:
        asked_at_s = self._recorder.now_s()
        rows = self._platform.scan(table).value_or(())
        found: list[EventT] = []
        for row in rows:
            decoded = decode(row)
            if is_successful(decoded):
                found.append(build(row, decoded.unwrap(), asked_at_s))
        return tuple(_posted(self._recorder, found))

    def _member(
        self,
        row: Row,
        found: Membership,
        asked_at_s: float,
    ) -> MemberRowSeen:
        return MemberRowSeen(
            asked_at_s,
            self._recorder.now_s(),
            row.key.key,
            row.version,
            found.replica,
            found.epoch,
        )

    def _replica(
        self,
        row: Row,
        found: Replica,
        asked_at_s: float,
    ) -> ReplicaRowSeen:
        return ReplicaRowSeen(
            asked_at_s,
            self._recorder.now_s(),
            row.key.key,
            row.version,
            found.replica,
            found.deployment,
            found.epoch,
            found.shard,
            tuple(member.instance for member in found.members),
        )

    def _lease(
        self,
        row: Row,
        found: Lease,
        asked_at_s: float,
    ) -> LeaseRowSeen:
        return LeaseRowSeen(
            asked_at_s,
            self._recorder.now_s(),
            row.key.key,
            row.version,
            found.holder,
            found.epoch,
        )


def _posted(
    recorder: Outbox[Any],
    events: Iterable[EventT],
) -> Iterator[EventT]:
    for event in events:
        recorder.post(event)
        yield event
