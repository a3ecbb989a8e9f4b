"""Tests of the record of a run."""

import tempfile
import unittest
from collections.abc import Iterator, Sequence
from pathlib import Path

from pomelogauge.lab.record import (
    Breach,
    ChatAnswered,
    ChatSent,
    Event,
    Failed,
    check_record,
    events_of,
)
from pomelogauge.lab.record_file import (
    decode_event,
    read_record,
    write_record,
)

EVENTS: tuple[Event, ...] = (
    ChatSent(2.0, 'b', 'organisation-0', 'shoe', 3),
    ChatSent(1.0, 'a', 'organisation-0', 'stile', 3),
    ChatAnswered(1.5, 'a', 'r1', 'x y', (0.1, 0.2)),
)


class _Unanswered:
    """Finds chats that got no answer."""

    name = 'unanswered'

    def check(self, events: Sequence[Event]) -> Iterator[Breach]:
        got = {event.caller for event in events_of(ChatAnswered, events)}
        for sent in events_of(ChatSent, events):
            if sent.caller not in got:
                yield Breach(self.name, sent.at_s, sent.caller)


class RecordTest(unittest.TestCase):
    def test_events_come_back_from_their_lines(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'deep', 'run.jsonl')
            write_record(path, EVENTS)
            self.assertEqual(read_record(path), EVENTS)

    def test_lines_that_are_no_events_are_refused(self) -> None:
        for line in ('', '[]', '{}', '{"event": "Path"}'):
            self.assertRaises(ValueError, decode_event, line)
        line = '{"event": "VersionPublished", "at_s": 1, "spam": 2}'
        self.assertRaises(ValueError, decode_event, line)

    def test_checkers_see_events_by_time(self) -> None:
        found = check_record([_Unanswered()], EVENTS)
        self.assertEqual(found, (Breach('unanswered', 2.0, 'b'),))
        more = (*EVENTS, Failed(3.0, 'b', 'cut', 'may_have_run'))
        self.assertEqual(len(check_record([_Unanswered()], more)), 1)


if __name__ == '__main__':
    unittest.main()
