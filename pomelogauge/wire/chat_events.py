"""Server-sent events of engines' chat streams."""

import json
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..engines.protocols import Token

_DATA = b'data:'
_END = b'[DONE]'


@dataclass(frozen=True)
class StreamEnd:
    """The explicit end of an answer."""


class EventReader:
    """Cuts a byte stream into the data of its events."""

    def __init__(self) -> None:
        """Start between two events."""
        self._rest = b''

    def feed(self, received: bytes) -> tuple[bytes, ...]:
        """Take bytes and return the data of the events now complete."""
        lines = (self._rest + received).split(b'\n')
        self._rest = lines.pop()
        return tuple(
            line[len(_DATA) :].strip()
            for line in lines
            if line.startswith(_DATA)
        )


def parse_event(event: bytes) -> Result[Token | StreamEnd, str]:
    """Return the token of an event, the end, or what is wrong with it."""
    if event == _END:
        return Success(StreamEnd())
    try:
        return Success(_token(json.loads(event)))
    except (ValueError, TypeError, LookupError):
        return Failure('the engine sent an event that is no chat chunk')


def _token(document: object) -> Token:
    if not isinstance(document, dict):
        raise TypeError('no object')
    chunk: dict[str, object] = document
    index = chunk['token']
    choices = chunk['choices']
    if not isinstance(index, int) or not isinstance(choices, list):
        raise TypeError('no token index or no choices')
    text = dict(choices[0]['delta']).get('content') or ''
    return Token(index, str(text))
