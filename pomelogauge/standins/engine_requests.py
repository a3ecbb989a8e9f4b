"""Requests in progress at a stand-in engine, and a record of the others."""

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

#: Ended requests kept for the record.
_RECORDS_KEPT = 20000


@dataclass(frozen=True)
class _Running:
    request: RequestId
    client: str
    stream: Outbox[StreamMessage]


class RunningRequests:
    """Requests in progress and the record of those that ended."""

    def __init__(self) -> None:
        """Start without requests."""
        self.overload_crashes = 0
        self._peak_running = 0
        self._serial = 0
        self._running: dict[int, _Running] = {}
        self._ended: deque[StreamRecord] = deque(maxlen=_RECORDS_KEPT)

    def add(self, requested: StreamRequested, running: int) -> int:
        """Take a request in and return its serial number."""
        self._serial += 1
        self._running[self._serial] = _Running(
            requested.request,
            requested.client,
            requested.stream,
        )
        self._peak_running = max(self._peak_running, running)
        return self._serial

    def end(self, ended: StreamEnded) -> bool:
        """Record an end; tell whether the engine still counted it."""
        self._ended.append(ended.record)
        return self._running.pop(ended.serial, None) is not None

    def notify_all(self, message: StreamMessage) -> None:
        """Tell all streams."""
        for running in self._running.values():
            running.stream.post(message)

    def cut_all(self) -> None:
        """Cut all streams; each is counted until its thread says so."""
        self.notify_all(StreamCut())

    def drop_all(self) -> None:
        """Cut all streams and count them no more."""
        self.cut_all()
        self._running = {}

    def cut_clients(self, clients: frozenset[str]) -> None:
        """Cut the streams of some nodes."""
        for running in self._running.values():
            if running.client in clients:
                running.stream.post(StreamCut())

    def cancel(self, request: RequestId) -> int:
        """Cancel a request and return how many streams it had."""
        serials = [
            serial
            for serial, running in self._running.items()
            if running.request == request
        ]
        for serial in serials:
            self._running.pop(serial).stream.post(StreamCancelled())
        return len(serials)

    def record(self) -> EngineRecord:
        """Return what the engine did."""
        return EngineRecord(
            self.overload_crashes,
            self._peak_running,
            tuple(self._ended),
        )
