"""Collects the events that the tasks of a run post."""

import time
from typing import TypeVar

from ..tasks.mailbox import Mailbox
from .record import Event, events_of

EventT = TypeVar('EventT')


class Recorder:
    """A mailbox of events; all tasks post, one tool's thread reads."""

    def __init__(self) -> None:
        """Start the run's clock."""
        self._begun_s = time.monotonic()
        self._mailbox: Mailbox[Event] = Mailbox()
        self._events: list[Event] = []

    def now_s(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._begun_s

    def post(self, message: Event) -> None:
        """Leave an event."""
        self._mailbox.post(message)

    def events(self) -> list[Event]:
        """Return all events so far; for the thread that reads."""
        event = self._mailbox.take(0)
        while event is not None:
            self._events.append(event)
            event = self._mailbox.take(0)
        return self._events

    def of(self, kind: type[EventT]) -> tuple[EventT, ...]:
        """Return the events of one type so far."""
        return tuple(events_of(kind, self.events()))
