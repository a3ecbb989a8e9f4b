"""Whole events of a stream of events."""

_END = b'\n\n'
_ID = b'id:'


class EventSplitter:
    """Splits a stream into whole events and holds back a torn one."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._torn = b''
        self.last_id = ''

    @property
    def has_partial_event(self) -> bool:
        """Whether the stream ended inside an event."""
        return bool(self._torn.strip())

    def complete_events(self, piece: bytes) -> bytes:
        """Return the events that a piece completes."""
        text = self._torn + piece
        end = text.rfind(_END)
        if end < 0:
            self._torn = text
            return b''
        end += len(_END)
        self._torn = text[end:]
        self._note(text[:end])
        return text[:end]

    def drop_partial_event(self) -> None:
        """Drop a torn event; another stream goes on after the last one."""
        self._torn = b''

    def _note(self, events: bytes) -> None:
        at = events.rfind(_ID)
        while at > 0 and events[at - 1 : at] != b'\n':
            at = events.rfind(_ID, 0, at)
        if at >= 0:
            line = events[at + len(_ID) :].partition(b'\n')[0]
            self.last_id = line.strip().decode('latin-1')
