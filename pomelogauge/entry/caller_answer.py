"""The answer to one caller's request."""

from ..model.entry_request import TargetAnswer
from ..tasks.clock import Clock
from ..tasks.published import Published
from ..wire.caller_connection import CallerConnection
from ..wire.event_stream import (
    EventSplitter,
    EventTooLargeError,
    has_event,
)
from .codecs import RequestCodec

#: Largest body that is buffered, in bytes.
MAX_BODY_BYTES = 8 * 1024 * 1024

_UNAVAILABLE = 503


class AnswerTooLargeError(Exception):
    """A target's answer is larger than may be buffered."""


class CallerAnswer:
    """Relays the answers of one or more targets, or sends an answer of its own.

    Events of a stream are relayed as soon as they are complete, so that
    another target can go on after the last one. All other bodies are
    buffered and sent once they are complete.

    Parameters
    ----------
    conn
        The caller's connection.
    codec
        Encodes the answers of this instance.
    leaving
        Whether this instance is shutting down; the connection then closes
        after the answer.
    received_at_s
        Time by the local clock at which the request was complete.
    clock
        Local clock.

    """

    def __init__(
        self,
        conn: CallerConnection,
        codec: RequestCodec,
        leaving: Published[bool],
        received_at_s: float,
        clock: Clock,
    ) -> None:
        """Start without an answer."""
        self._conn = conn
        self._codec = codec
        self._leaving = leaving
        self._read_s = received_at_s
        self._clock = clock
        self._splitter = EventSplitter()
        self._head: TargetAnswer | None = None
        self._body = bytearray()
        self.has_started = False
        self.status = 0
        self.first_s = 0.0

    @property
    def last_event(self) -> str:
        """Id of the last event that was relayed; empty for none."""
        return self._splitter.last_id

    def begin(self, head: TargetAnswer) -> None:
        """Start to relay a target's answer.

        If the caller has the head of an earlier answer already, its stream
        goes on and this head is dropped.
        """
        self._splitter.drop_partial_event()
        self._body = bytearray()
        if not self.has_started:
            self._head = head

    def add_piece(self, piece: bytes) -> bool:
        """Relay or buffer a piece of the body.

        Returns
        -------
        bool
            Whether the answer has made progress: a stream by an event, which
            a comment is not.

        Raises
        ------
        AnswerTooLargeError
            The body, or an event of the stream, is too large.
        CallerLeftError
            The caller has closed its connection.

        """
        if not self._is_stream():
            self._body += piece
            if len(self._body) > MAX_BODY_BYTES:
                raise AnswerTooLargeError(
                    f'the body has more than {MAX_BODY_BYTES} bytes'
                )
            return True
        try:
            complete_events = self._splitter.complete_events(piece)
        except EventTooLargeError as exc:
            raise AnswerTooLargeError(str(exc)) from exc
        if complete_events:
            self._start()
            self._conn.send_piece(complete_events)
        return has_event(complete_events)

    def has_partial_event(self) -> bool:
        """Return whether the stream has ended in the middle of an event."""
        return self._is_stream() and self._splitter.has_partial_event

    def finish(self) -> None:
        """Send the caller the rest of the target's answer.

        Blank bytes may follow the last event of a stream.

        Raises
        ------
        CallerLeftError
            The caller has closed its connection.

        """
        blanks = self._splitter.take_partial()
        if self.has_started:
            if blanks:
                self._conn.send_piece(blanks)
            self._conn.end_answer()
        elif self._head is not None:
            self._record_start(self._head.status)
            self._conn.answer(
                self._head.status,
                self._head.headers,
                bytes(self._body) + blanks,
                self._leaving.latest(),
            )

    def refuse(self, status: int, reason: str, retry_after_s: float) -> None:
        """Send the caller an answer of this instance.

        Raises
        ------
        CallerLeftError
            The caller has closed its connection.

        """
        self._record_start(status)
        self._conn.answer(
            status,
            self._codec.refusal_headers(
                retry_after_s if status == _UNAVAILABLE else 0
            ),
            self._codec.refusal_body(reason),
            self._leaving.latest(),
        )

    def abort(self) -> None:
        """Abort the connection, so that the answer does not look complete."""
        self._conn.abort()

    def _is_stream(self) -> bool:
        head = self._head
        return head is not None and head.is_stream and head.is_success()

    def _start(self) -> None:
        head = self._head
        if self.has_started or head is None:
            return
        self.has_started = True
        self._record_start(head.status)
        self._conn.start_answer(
            head.status, head.headers, self._leaving.latest()
        )

    def _record_start(self, status: int) -> None:
        self.status = status
        self.first_s = self._clock.now_s() - self._read_s
