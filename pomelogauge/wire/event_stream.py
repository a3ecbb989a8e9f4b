"""Splits a stream of server-sent events into complete events."""

import re

#: Largest event of a stream, in bytes.
MAX_EVENT_BYTES = 262_144

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
#: A line with a field; all others are comments or end an event.
_FIELD_LINE = re.compile(rb'^[^:\r\n]', re.MULTILINE)


class EventTooLargeError(Exception):
    """An event of the stream has no end within ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Passes complete events on and holds back a partial one.

    ``last_id`` is the identifier of the last complete event that had one;
    a resumed stream starts after it.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream, without an identifier."""
        self._partial = b''
        self.last_id = ''

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event has come and its end has not."""
        return bool(self._partial.strip())

    def complete_events(self, piece: bytes) -> bytes:
        """Return the events that a piece of the stream completes.

        Parameters
        ----------
        piece
            Next bytes of the stream, cut anywhere.

        Returns
        -------
        bytes
            Complete events as they came; empty while none is complete.

        Raises
        ------
        EventTooLargeError
            The event that the piece goes on with is too large.

        """
        text = self._partial + piece
        end = text.rfind(_EVENT_END, max(0, len(self._partial) - 1))
        if end < 0:
            if len(text) > MAX_EVENT_BYTES:
                raise EventTooLargeError(
                    f'an event has more than {MAX_EVENT_BYTES} bytes'
                )
            self._partial = text
            return b''
        end += len(_EVENT_END)
        self._partial = text[end:]
        self._record_last_id(text[:end])
        return text[:end]

    def take_partial(self) -> bytes:
        """Return the bytes after the last complete event and forget them."""
        partial = self._partial
        self._partial = b''
        return partial

    def drop_partial_event(self) -> None:
        """Drop the partial event; a resumed stream sends it again."""
        self._partial = b''

    def _record_last_id(self, events: bytes) -> None:
        # The last occurrence at the start of a line; others are data.
        start = events.rfind(_ID_FIELD)
        while start > 0 and events[start - 1 : start] != b'\n':
            start = events.rfind(_ID_FIELD, 0, start)
        if start >= 0:
            line = events[start + len(_ID_FIELD) :].partition(b'\n')[0]
            self.last_id = line.strip().decode('latin-1')


def has_event(events: bytes) -> bool:
    """Return whether complete events hold more than comments."""
    return _FIELD_LINE.search(events) is not None
