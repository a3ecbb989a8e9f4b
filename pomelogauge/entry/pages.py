"""HTTP pages of an entry instance: readiness, directory and metrics."""

import socket
import threading
from dataclasses import dataclass
from random import Random
from typing import Protocol

from ..decide.entry_directory import list_entries
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

#: Requests for these pages have a small head and no body.
_LIMITS = ReadLimits(head_bytes=8192, body_bytes=1024, head_s=3, idle_s=30)
_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
#: Seconds for which callers may cache the directory.
DIRECTORY_TTL_S = 2
#: Seconds to wait for the metrics task.
_METRICS_TIMEOUT_S = 1.0

_JSON: Headers = ((b'Content-Type', b'application/json'),)
_log = part_logger(Part.ENTRY)


@dataclass(frozen=True)
class Page:
    """A complete HTTP answer."""

    status: int
    headers: Headers
    body: bytes


class PageHandler(Protocol):
    """Answers requests for one page; called by many threads at once."""

    def page(self, request: RequestRead) -> Page:
        """Return the answer to a request."""


class ReadyPage:
    """Readiness check of the platform: whether this instance takes callers.

    Parameters
    ----------
    published_fleet
        Newest state of the fleet; read only.
    leaving
        Whether this instance is shutting down.
    max_age_s
        Seconds since the configuration was last confirmed beyond which this
        instance is not ready.
    clock
        Local clock.

    """

    def __init__(
        self,
        published_fleet: Published[Fleet],
        leaving: Published[bool],
        max_age_s: float,
        clock: Clock,
    ) -> None:
        """Keep what the answer depends on."""
        self._published_fleet = published_fleet
        self._leaving = leaving
        self._max_age_s = max_age_s
        self._clock = clock

    def page(self, request: RequestRead) -> Page:
        """Return status 200 if the instance is ready, otherwise 503.

        It is ready with a configuration that is not too old and a list of
        targets, unless it is shutting down.
        """
        fleet = self._published_fleet.latest()
        age_s = self._clock.now_s() - fleet.confirmed_s
        is_ready = (
            fleet.config is not None
            and fleet.can_serve
            and age_s <= self._max_age_s
            and not self._leaving.latest()
        )
        return Page(_OK if is_ready else _UNAVAILABLE, _JSON, b'{}')


class DirectoryPage:
    """Directory of the entry instances to which callers may connect.

    Parameters
    ----------
    own
        This instance.
    published_fleet
        Newest state of the fleet; read only.
    leaving
        Whether this instance is shutting down.
    codec
        Recognises requests and encodes the answer.
    rng
        Draws the instances of an answer in large systems.

    """

    def __init__(
        self,
        own: EntryInstance,
        published_fleet: Published[Fleet],
        leaving: Published[bool],
        codec: PageCodec,
        rng: Random,
    ) -> None:
        """Keep what the answer depends on."""
        self._rng = rng
        self._own = own
        self._published_fleet = published_fleet
        self._leaving = leaving
        self._codec = codec

    def page(self, request: RequestRead) -> Page:
        """Return instances that take callers.

        For requests that don't name the directory the status is 404.
        """
        if not self._codec.is_directory_request(request.target):
            return Page(_NOT_FOUND, _JSON, b'{}')
        listed = list_entries(
            self._own,
            self._published_fleet.latest().instances,
            is_leaving=self._leaving.latest(),
            rng=self._rng,
        )
        body = self._codec.encode_directory(listed, DIRECTORY_TTL_S)
        return Page(_OK, _JSON, body)


class MetricsPage:
    """Counters and histograms in the text format of Prometheus.

    Parameters
    ----------
    metrics
        The metrics task.

    """

    def __init__(self, metrics: Outbox[MetricsMessage]) -> None:
        """Keep the task's outbox."""
        self._metrics = metrics

    def page(self, request: RequestRead) -> Page:
        """Return all metrics; 503 if the metrics task does not answer."""
        replies: Mailbox[MetricsSnapshot] = Mailbox()
        self._metrics.post(SnapshotRequested(replies))
        snapshot = replies.take(_METRICS_TIMEOUT_S)
        if snapshot is None:
            return Page(_UNAVAILABLE, _JSON, b'{}')
        headers = ((b'Content-Type', MEDIA_TYPE.encode()),)
        return Page(_OK, headers, metrics_text(snapshot).encode())


class PageTask:
    """Owns one connection on which pages are requested.

    Parameters
    ----------
    sock
        Accepted socket.
    handler
        Answers the requests.

    """

    def __init__(self, sock: socket.socket, handler: PageHandler) -> None:
        """Take over the socket; nothing is read before the start."""
        self._conn = CallerConnection(sock, _LIMITS.head_bytes)
        self._handler = handler

    def start(self) -> None:
        """Serve in a daemon thread until the connection ends."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            self._serve()
        except CallerLeftError as exc:
            _log.debug('a connection to the pages ended: %s', exc)
        except Exception:
            _log.exception('a connection to the pages failed')
        finally:
            self._conn.close()

    def _serve(self) -> None:
        """Serve requests until the connection ends."""
        is_open = True
        while is_open:
            outcome = self._conn.read_request(_LIMITS)
            if not isinstance(outcome, RequestRead):
                return
            page = self._handler.page(outcome)
            self._conn.answer(
                page.status, page.headers, page.body, ends_connection=False
            )
            is_open = self._conn.next_cycle()
