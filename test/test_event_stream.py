"""Tests of splitting a stream into complete events."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pomelogauge.wire.event_stream import EventSplitter


class EventStreamTest(unittest.TestCase):
    """Guards against partial events and bytes lost between two reads."""

    def test_partial_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(
            splitter.complete_events(b'id: 1\n\nid: 2\nda'), b'id: 1\n\n'
        )
        self.assertTrue(splitter.has_partial_event)
        self.assertEqual(splitter.last_id, '1')
        self.assertEqual(
            splitter.complete_events(b'ta\n\n'), b'id: 2\ndata\n\n'
        )
        self.assertEqual(splitter.last_id, '2')

    def test_resumed_stream_replaces_the_partial_event(self) -> None:
        splitter = EventSplitter()
        splitter.complete_events(b'id: 1\n\nid: 2')
        splitter.drop_partial_event()
        self.assertFalse(splitter.has_partial_event)
        self.assertEqual(splitter.complete_events(b'id: 2\n\n'), b'id: 2\n\n')

    def test_id_inside_a_data_line_is_ignored(self) -> None:
        splitter = EventSplitter()
        splitter.complete_events(b'id: 7\ndata: grid: 9\n\n')
        self.assertEqual(splitter.last_id, '7')

    @given(st.lists(st.integers(1, 9), min_size=1, max_size=40))
    def test_no_byte_is_lost_however_it_is_split(
        self, sizes: list[int]
    ) -> None:
        text = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, b'x' * number)
            for number in range(1, 6)
        )
        splitter = EventSplitter()
        received = b''
        start = 0
        for size in sizes:
            received += splitter.complete_events(text[start : start + size])
            start += size
            self.assertTrue(text.startswith(received))
            self.assertTrue(not received or received.endswith(b'\n\n'))
        received += splitter.complete_events(text[start:])
        self.assertEqual(received, text)
        self.assertEqual(splitter.last_id, '5')
