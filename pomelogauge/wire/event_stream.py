"""Splits a stream of server-sent events into complete events."""

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'


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

        """
        text = self._partial + piece
        end = text.rfind(_EVENT_END)
        if end < 0:
            self._partial = text
            return b''
        end += len(_EVENT_END)
        self._partial = text[end:]
        self._record_last_id(text[:end])
        return text[:end]

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
