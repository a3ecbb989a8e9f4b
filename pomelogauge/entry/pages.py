"""The tasks that serve the platform's checks and callers' questions."""

import socket
import threading
from dataclasses import dataclass
from typing import Protocol

from ..model.entry_request import Headers
from ..model.fleet import EntryInstance, Fleet
from ..model.log_parts import Part
from ..model.metrics import MetricsSnapshot
from ..tasks.clock import Clock
from ..tasks.log import part_logger
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.metrics import MetricsMessage, SnapshotRequested
from ..tasks.published import Published
from ..wire.caller_connection import (
    CallerConnection,
    CallerLeftError,
    ReadLimits,
    RequestRead,
)
from ..wire.metrics_text import MEDIA_TYPE, metrics_text
from .codecs import PageCodec

#: Requests to these pages have no body and a small head.
_LIMITS = ReadLimits(head_bytes=8192, body_bytes=1024, head_s=3, idle_s=30)
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
#: Seconds for which callers may keep an answer.
DIRECTORY_TTL_S = 2
#: Seconds to wait for the metrics.
_METRICS_S = 1.0

_JSON: Headers = ((b'Content-Type', b'application/json'),)
_log = part_logger(Part.ENTRY)


@dataclass(frozen=True)
class Page:
    """An answer."""

    status: int
    headers: Headers
    body: bytes


class PageHandler(Protocol):
    """Answers one kind of question."""

    def page(self, request: RequestRead) -> Page:
        """Return the answer to a request."""


class ReadyPage:
    """Tells the platform whether this instance takes callers.

    Parameters
    ----------
    published_fleet
        Picture of the fleet.
    leaving
        Whether the instance ends.
    longest_age_s
        Age of the configuration beyond which it takes none.
    clock
        Own clock.

    """

    def __init__(
        self,
        published_fleet: Published[Fleet],
        leaving: Published[bool],
        longest_age_s: float,
        clock: Clock,
    ) -> None:
        """Take what the answer depends on."""
        self._published_fleet = published_fleet
        self._leaving = leaving
        self._longest_age_s = longest_age_s
        self._clock = clock

    def page(self, request: RequestRead) -> Page:
        """Return whether the instance is ready."""
        fleet = self._published_fleet.latest()
        age_s = self._clock.now_s() - fleet.confirmed_s
        is_ready = (
            fleet.config is not None
            and fleet.can_serve
            and age_s <= self._longest_age_s
            and not self._leaving.latest()
        )
        return Page(_OK if is_ready else _UNAVAILABLE, _JSON, b'{}')


class DirectoryPage:
    """Tells callers where to connect.

    Parameters
    ----------
    own
        This instance.
    published_fleet
        Picture of the fleet.
    leaving
        Whether the instance ends.
    codec
        Translates questions and answers.

    """

    def __init__(
        self,
        own: EntryInstance,
        published_fleet: Published[Fleet],
        leaving: Published[bool],
        codec: PageCodec,
    ) -> None:
        """Take what the answer depends on."""
        self._own = own
        self._published_fleet = published_fleet
        self._leaving = leaving
        self._codec = codec

    def page(self, request: RequestRead) -> Page:
        """Return the instances that take callers."""
        if not self._codec.is_directory_request(request.target):
            return Page(_NOT_FOUND, _JSON, b'{}')
        body = self._codec.encode_directory(self._entries(), DIRECTORY_TTL_S)
        return Page(_OK, _JSON, body)

    def _entries(self) -> tuple[EntryInstance, ...]:
        others = tuple(
            entry
            for entry in self._published_fleet.latest().instances
            if entry.node != self._own.node and not entry.is_leaving
        )
        if self._leaving.latest():
            return others or (self._own,)
        return (self._own, *others)


class MetricsPage:
    """Gives counters and histograms as text.

    Parameters
    ----------
    metrics
        The task that owns them.

    """

    def __init__(self, metrics: Outbox[MetricsMessage]) -> None:
        """Take the task."""
        self._metrics = metrics

    def page(self, request: RequestRead) -> Page:
        """Return all metrics."""
        replies: Mailbox[MetricsSnapshot] = Mailbox()
        self._metrics.post(SnapshotRequested(replies))
        snapshot = replies.take(_METRICS_S)
        if snapshot is None:
            return Page(_UNAVAILABLE, _JSON, b'{}')
        headers = ((b'Content-Type', MEDIA_TYPE.encode()),)
        return Page(_OK, headers, metrics_text(snapshot).encode())


class PageTask:
    """Owns one connection that asks for pages.

    Parameters
    ----------
    sock
        Accepted socket.
    maker
        Answers the questions.

    """

    def __init__(self, sock: socket.socket, maker: PageHandler) -> None:
        """Take the socket."""
        self._conn = CallerConnection(sock, _LIMITS.head_bytes)
        self._maker = maker

    def start(self) -> None:
        """Serve in a thread of its own."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            self._serve()
        except CallerLeftError as exc:
            _log.debug('connection ended: %s', exc)
        except Exception:
            _log.exception('page failed')
        finally:
            self._conn.close()

    def _serve(self) -> None:
        """Serve requests until the connection ends."""
        is_open = True
        while is_open:
            outcome = self._conn.read_request(_LIMITS)
            if not isinstance(outcome, RequestRead):
                return
            page = self._maker.page(outcome)
            self._conn.answer(
                page.status, page.headers, page.body, ends_connection=False
            )
            is_open = self._conn.next_cycle()
