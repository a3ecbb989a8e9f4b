"""Tests of parsing the events of chat streams."""

import json
import unittest

from returns.result import Success

from pomelogauge.engines.protocols import Token
from pomelogauge.model.ids import RequestId
from pomelogauge.wire.chat_events import EventReader, parse_event, text_of

REQUEST = RequestId('r-1')


def event(text: str, index: int = 3, **more: object) -> bytes:
    """Return an engine's chunk in the usual form, with further fields."""
    choice = {'delta': {'content': text}, 'finish_reason': None}
    chunk = {'id': REQUEST, **more, 'choices': [choice], 'token': index}
    return json.dumps(chunk).encode()


class ChatEventsTest(unittest.TestCase):
    """Guards against chunks misread or changed on their way to callers."""

    def test_usual_form_is_kept_unchanged_whatever_its_text(self) -> None:
        for text in ('shoe', '"token": 9}', '"id": "r-2"', '\\', '\u00e9\n'):
            sent = event(text)
            token = parse_event(sent, REQUEST).unwrap()
            self.assertEqual(token, Token(3, '', sent))
            self.assertEqual(text_of(token), text)

    def test_any_other_form_is_decoded(self) -> None:
        last = event('t').replace(b'null', b'"stop"')
        other = event('t', id='r-2')
        later = event('t')[:-1] + b', "usage": null}'
        for sent in (last, other, later):
            parsed = parse_event(sent, REQUEST)
            self.assertEqual(parsed, Success(Token(3, 't')))

    def test_events_are_found_wherever_the_bytes_are_split(self) -> None:
        sent = b'data: one\n\ndata: two\n\n'
        for size in range(len(sent)):
            reader = EventReader()
            events = (*reader.feed(sent[:size]), *reader.feed(sent[size:]))
            self.assertEqual(events, (b'one', b'two'))
