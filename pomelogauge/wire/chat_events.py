"""Server-sent events of engines' chat streams."""

import json
import re
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..engines.protocols import Token
from ..model.ids import RequestId

_DATA = b'data:'
_END = b'[DONE]'
_WHOLE_EVENT = re.compile(rb'data: ([^\n]*)\n\n')

# A quote inside a JSON string is escaped, so that neither name can be matched
# inside a text, and a name at the very end is one of the outermost object.
_PLAIN_CHUNK = re.compile(
    rb'\{"id": ?"([^"\\]+)",.*"finish_reason": ?null\}\], ?"token": ?(\d+)\}'
)


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
        # An engine sends most events each in a chunk of its own.
        whole = None if self._rest else _WHOLE_EVENT.fullmatch(received)
        if whole:
            return (whole[1],)
        lines = (self._rest + received).split(b'\n')
        self._rest = lines.pop()
        return tuple(
            line[len(_DATA) :].strip()
            for line in lines
            if line.startswith(_DATA)
        )


def parse_event(
    event: bytes,
    request: RequestId,
) -> Result[Token | StreamEnd, str]:
    """Return the token of an event, the end, or what is wrong with it.

    An event of the usual form that names the request is not decoded, so that
    it can be passed on as it came.

    Parameters
    ----------
    event
        Data of the event.
    request
        Request that the stream answers.

    """
    plain = _PLAIN_CHUNK.fullmatch(event)
    if plain and plain[1] == request.encode():
        return Success(Token(int(plain[2]), '', event))
    if event == _END:
        return Success(StreamEnd())
    return _parse(event)


def text_of(token: Token) -> str:
    """Return the text of a token, out of its event where it has one."""
    if not token.event:
        return token.text
    return _parse(token.event).value_or(token).text


def _parse(event: bytes) -> Result[Token, str]:
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
