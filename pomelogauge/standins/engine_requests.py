"""Running requests of a stand-in engine and a record of ended ones."""

from collections import deque
from dataclasses import dataclass

from ..model.ids import RequestId
from ..tasks.mailbox import Outbox
from .engine_messages import (
    EngineRecord,
    StreamCancelled,
    StreamCut,
    StreamEnded,
    StreamMessage,
    StreamRecord,
    StreamRequested,
)

#: Ended requests kept in the record; older ones are dropped.
_RECORDS_KEPT = 20000


@dataclass(frozen=True)
class _Running:
    request: RequestId
    client: str
    stream: Outbox[StreamMessage]


class RunningRequests:
    """Tracks running requests and records those that ended."""

    def __init__(self) -> None:
        """Start with no requests and zero counts."""
        self.overload_crashes = 0
        self._peak_running = 0
        self._serial = 0
        self._running: dict[int, _Running] = {}
        self._ended: deque[StreamRecord] = deque(maxlen=_RECORDS_KEPT)

    def add(self, requested: StreamRequested, running: int) -> int:
        """Add a running request and return its serial number."""
        self._serial += 1
        self._running[self._serial] = _Running(
            requested.request,
            requested.client,
            requested.stream,
        )
        self._peak_running = max(self._peak_running, running)
        return self._serial

    def end(self, ended: StreamEnded) -> bool:
        """Record an end; return whether the request still held a slot."""
        self._ended.append(ended.record)
        return self._running.pop(ended.serial, None) is not None

    def notify_all(self, message: StreamMessage) -> None:
        """Send a message to the threads of all running streams."""
        for running in self._running.values():
            running.stream.post(message)

    def cut_all(self) -> None:
        """Drop all streams; each holds its slot until its thread reports."""
        self.notify_all(StreamCut())

    def drop_all(self) -> None:
        """Drop all streams and release their slots at once."""
        self.cut_all()
        self._running = {}

    def cut_clients(self, clients: frozenset[str]) -> None:
        """Drop the streams of some clients."""
        for running in self._running.values():
            if running.client in clients:
                running.stream.post(StreamCut())

    def cancel(self, request: RequestId) -> int:
        """Cancel a request and return the number of streams it had."""
        serials = [
            serial
            for serial, running in self._running.items()
            if running.request == request
        ]
        for serial in serials:
            self._running.pop(serial).stream.post(StreamCancelled())
        return len(serials)

    def record(self) -> EngineRecord:
        """Return the record for the checkers."""
        return EngineRecord(
            self.overload_crashes,
            self._peak_running,
            tuple(self._ended),
        )
