"""Parses the server-sent events of engines' chat streams."""

import json
import re
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from ..engines.protocols import Token
from ..model.ids import RequestId
from .event_stream import MAX_EVENT_BYTES, EventTooLargeError

_DATA = b'data:'
_DONE = b'[DONE]'
_SINGLE_EVENT = re.compile(rb'data: ([^\n]*)\n\n')

# Matches a chunk without decoding it. A quote inside a JSON string is escaped,
# so neither key can match inside a text, and the key at the very end belongs
# to the outermost object.
_USUAL_CHUNK = re.compile(
    rb'\{"id": ?"([^"\\]+)",.*"finish_reason": ?null\}\], ?"token": ?(\d+)\}'
)


@dataclass(frozen=True)
class StreamEnd:
    """The ``[DONE]`` event, which ends a complete stream."""


class EventReader:
    """Splits a byte stream into the data fields of its events."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._rest = b''

    def feed(self, received: bytes) -> tuple[bytes, ...]:
        """Return the data of the events that the received bytes complete.

        Raises
        ------
        EventTooLargeError
            The line that the bytes go on with is too large.

        """
        # Fast path: engines send most events in a chunk of their own.
        single = None if self._rest else _SINGLE_EVENT.fullmatch(received)
        if single:
            return (single[1].strip(),)
        lines = (self._rest + received).split(b'\n')
        self._rest = lines.pop()
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(
                f'an event has more than {MAX_EVENT_BYTES} bytes'
            )
        return tuple(
            line[len(_DATA) :].strip()
            for line in lines
            if line.startswith(_DATA)
        )


def parse_event(
    event: bytes,
    request: RequestId,
) -> Result[Token | StreamEnd, str]:
    """Parse one event.

    A chunk in the usual form that carries the request's identifier is not
    decoded: the token holds the event, which goes to the caller unchanged.

    Parameters
    ----------
    event
        Data of the event.
    request
        Request that the stream answers.

    Returns
    -------
    Result
        The token, the end of the stream, or a message that the event is
        malformed.

    """
    usual = _USUAL_CHUNK.fullmatch(event)
    if usual and usual[1] == request.encode():
        return Success(Token(int(usual[2]), '', event))
    if event == _DONE:
        return Success(StreamEnd())
    return _parse(event)


def text_of(token: Token) -> str:
    """Return the text of a token, decoded from its event if it has one."""
    if not token.event:
        return token.text
    return _parse(token.event).value_or(token).text


def _parse(event: bytes) -> Result[Token, str]:
    try:
        return Success(_token(json.loads(event)))
    except (ValueError, TypeError, LookupError):
        return Failure('engine sent an event that is not a chat chunk')


def _token(document: object) -> Token:
    if not isinstance(document, dict):
        raise TypeError('chunk is not a JSON object')
    chunk: dict[str, object] = document
    index = chunk['token']
    choices = chunk['choices']
    if not isinstance(index, int) or not isinstance(choices, list):
        raise TypeError('token is not an integer or choices is not a list')
    text = dict(choices[0]['delta']).get('content') or ''
    return Token(index, str(text))
