"""Decodes what a router answers to callers."""

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import urllib3
from returns.result import Failure, Result, Success

_OK = 200
_DONE = '[DONE]'
_FIELD = b'data:'


@dataclass(frozen=True)
class CallError:
    """A request that got no answer.

    Parameters
    ----------
    code
        Code of the refusal, or ``unreachable`` or ``cut``.
    message
        One sentence.
    execution
        ``not_run``, ``may_have_run`` or ``ran``.
    retry_after_s
        Seconds after which a repeat may succeed; zero for no hint.
    request
        Identifier that the router gave; empty when none came.
    entries
        Routers that the refusing one names instead.

    """

    code: str
    message: str
    execution: str
    retry_after_s: float = 0
    request: str = ''
    entries: tuple[str, ...] = ()

    @property
    def is_retryable(self) -> bool:
        """Whether the same request may be sent again without harm."""
        return self.execution == 'not_run'


@dataclass(frozen=True)
class ChatCompletion:
    """A whole answer of a model.

    Parameters
    ----------
    request
        Identifier of the request.
    text
        The answer.
    first_token_s
        Seconds until the first token.
    token_times_s
        Seconds from the start to each token.

    """

    request: str
    text: str
    first_token_s: float
    token_times_s: tuple[float, ...]


def ignore_tokens(count: int) -> None:
    """Take no notice of the tokens of an unfinished answer."""


def read_response(
    answer: urllib3.BaseHTTPResponse,
    begun_s: float,
    on_token: Callable[[int], None] = ignore_tokens,
) -> Result[Any, CallError]:
    """Read a whole answer, streamed or not.

    Parameters
    ----------
    answer
        The response, its body not read yet.
    begun_s
        Monotonic time at which the request was sent.
    on_token
        Called after each token of a stream with the number of tokens so far.

    """
    try:
        if answer.status != _OK:
            return Failure(_refusal(answer))
        if 'event-stream' in answer.headers.get('Content-Type', ''):
            return _read_stream(answer, begun_s, on_token)
        return Success(json.loads(answer.read()))
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        answer.close()
        return Failure(CallError('cut', str(exc), 'may_have_run'))
    finally:
        answer.release_conn()


def _refusal(answer: urllib3.BaseHTTPResponse) -> CallError:
    said = _said(json.loads(answer.read()))
    return CallError(
        said.get('code', 'unknown'),
        said.get('message', ''),
        said.get('execution', 'may_have_run'),
        float(said.get('retry_after_s') or 0),
        said.get('request_id', ''),
        tuple(said.get('entries', ())),
    )


def _said(document: Any) -> dict[str, Any]:
    """Return the error of a refusal; a service's own error has none."""
    error = document.get('error') if isinstance(document, dict) else None
    return error if isinstance(error, dict) else {}


def _read_stream(
    answer: urllib3.BaseHTTPResponse,
    begun_s: float,
    on_token: Callable[[int], None],
) -> Result[ChatCompletion, CallError]:
    texts: list[str] = []
    times_s: list[float] = []
    for event in _events(answer):
        if event == _DONE:
            request = answer.headers.get('X-Request-Id', '')
            first_s = times_s[0] if times_s else 0
            whole = ''.join(texts)
            return Success(
                ChatCompletion(request, whole, first_s, tuple(times_s)),
            )
        chunk = json.loads(event)
        if 'error' in chunk:
            return Failure(_stream_error(chunk['error']))
        text = chunk['choices'][0]['delta'].get('content')
        if text:
            texts.append(text)
            times_s.append(time.monotonic() - begun_s)
            on_token(len(texts))
    answer.close()
    message = 'the answer ended without its explicit end'
    return Failure(CallError('cut', message, 'may_have_run'))


def _stream_error(said: Any) -> CallError:
    return CallError(
        said.get('code', 'unknown'),
        said.get('message', ''),
        said.get('execution', 'may_have_run'),
        request=said.get('request_id', ''),
    )


def _events(answer: urllib3.BaseHTTPResponse) -> Iterator[str]:
    """Yield the data of each server-sent event as it arrives."""
    rest = b''
    for part in answer.stream(amt=None):
        rest += part
        *lines, rest = rest.split(b'\n')
        for line in lines:
            if line.startswith(_FIELD):
                yield line[len(_FIELD) :].strip().decode()
