"""Whole events of a stream."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pomelogauge.wire.event_stream import EventCutter


class EventStreamTest(unittest.TestCase):
    def test_a_torn_event_is_held_back(self) -> None:
        cutter = EventCutter()
        self.assertEqual(cutter.whole(b'id: 1\n\nid: 2\nda'), b'id: 1\n\n')
        self.assertTrue(cutter.is_torn)
        self.assertEqual(cutter.last_id, '1')
        self.assertEqual(cutter.whole(b'ta\n\n'), b'id: 2\ndata\n\n')
        self.assertEqual(cutter.last_id, '2')

    def test_another_stream_goes_on_without_the_torn_event(self) -> None:
        cutter = EventCutter()
        cutter.whole(b'id: 1\n\nid: 2')
        cutter.restart()
        self.assertFalse(cutter.is_torn)
        self.assertEqual(cutter.whole(b'id: 2\n\n'), b'id: 2\n\n')

    def test_an_id_inside_data_is_none(self) -> None:
        cutter = EventCutter()
        cutter.whole(b'id: 7\ndata: grid: 9\n\n')
        self.assertEqual(cutter.last_id, '7')

    @given(st.lists(st.integers(1, 9), min_size=1, max_size=40))
    def test_nothing_is_lost_however_it_is_cut(self, sizes: list[int]) -> None:
        text = b''.join(
            b'id: %d\ndata: %s\n\n' % (number, b'x' * number)
            for number in range(1, 6)
        )
        cutter = EventCutter()
        found = b''
        at = 0
        for size in sizes:
            found += cutter.whole(text[at : at + size])
            at += size
            self.assertTrue(text.startswith(found))
            self.assertTrue(not found or found.endswith(b'\n\n'))
        found += cutter.whole(text[at:])
        self.assertEqual(found, text)
        self.assertEqual(cutter.last_id, '5')
