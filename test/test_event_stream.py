"""Whole events of a stream."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pomelogauge.wire.event_stream import EventSplitter


class EventStreamTest(unittest.TestCase):
    def test_a_torn_event_is_held_back(self) -> None:
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

    def test_another_stream_goes_on_without_the_torn_event(self) -> None:
        splitter = EventSplitter()
        splitter.complete_events(b'id: 1\n\nid: 2')
        splitter.drop_partial_event()
        self.assertFalse(splitter.has_partial_event)
        self.assertEqual(splitter.complete_events(b'id: 2\n\n'), b'id: 2\n\n')

    def test_an_id_inside_data_is_none(self) -> None:
        splitter = EventSplitter()
        splitter.complete_events(b'id: 7\ndata: grid: 9\n\n')
        self.assertEqual(splitter.last_id, '7')

    @given(st.lists(st.integers(1, 9), min_size=1, max_size=40))
    def test_nothing_is_lost_however_it_is_cut(self, sizes: list[int]) -> None:
        text = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, b'x' * number)
            for number in range(1, 6)
        )
        splitter = EventSplitter()
        found = b''
        at = 0
        for size in sizes:
            found += splitter.complete_events(text[at : at + size])
            at += size
            self.assertTrue(text.startswith(found))
            self.assertTrue(not found or found.endswith(b'\n\n'))
        found += splitter.complete_events(text[at:])
        self.assertEqual(found, text)
        self.assertEqual(splitter.last_id, '5')
