"""Decodes a router's HTTP responses for clients."""

import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import urllib3
from returns.result import Failure, Result, Success

_OK = 200
_DONE = '[DONE]'
_DATA_PREFIX = b'data:'


@dataclass(frozen=True)
class CallError:
    """A request that was refused or got no complete response.

    Parameters
    ----------
    code
        Code of the refusal; ``unreachable`` if the request was not sent,
        ``cut`` if the connection failed or the response was incomplete.
    message
        Description of the error for people.
    execution
        Whether the request took effect: ``not_run``, ``may_have_run`` or
        ``ran``.
    retry_after_s
        Seconds to wait before a retry; zero if the router gave no hint.
    request
        Request identifier that the router assigned; empty if unknown.
    entries
        Addresses of other routers that the refusing router suggests.

    """

    code: str
    message: str
    execution: str
    retry_after_s: float = 0
    request: str = ''
    entries: tuple[str, ...] = ()

    @property
    def is_retryable(self) -> bool:
        """Whether a retry can't execute the request twice."""
        return self.execution == 'not_run'


@dataclass(frozen=True)
class ChatCompletion:
    """A complete streamed response to a chat request.

    Parameters
    ----------
    request
        Request identifier that the router assigned.
    text
        Text of all tokens.
    first_token_s
        Seconds from sending the request to the first token; zero if there
        was none.
    token_times_s
        Seconds from sending the request to each token.

    """

    request: str
    text: str
    first_token_s: float
    token_times_s: tuple[float, ...]


def ignore_tokens(count: int) -> None:
    """Discard the progress of a stream; the default of ``read_response``."""


def read_response(
    response: urllib3.BaseHTTPResponse,
    started_at_s: float,
    on_token: Callable[[int], None] = ignore_tokens,
) -> Result[Any, CallError]:
    """Read a response to its end and release its connection.

    Parameters
    ----------
    response
        Response whose body has not been read yet.
    started_at_s
        Monotonic time at which the request was sent.
    on_token
        Called after each token of a stream with the number of tokens so far.

    Returns
    -------
    Result
        A ``ChatCompletion`` for a stream of events, the decoded JSON
        document for any other response with status 200, or the error.

    """
    try:
        if response.status != _OK:
            return Failure(_refusal(response))
        if 'event-stream' in response.headers.get('Content-Type', ''):
            return _read_stream(response, started_at_s, on_token)
        return Success(json.loads(response.read()))
    except (urllib3.exceptions.HTTPError, ValueError) as exc:
        response.close()
        return Failure(CallError('cut', str(exc), 'may_have_run'))
    finally:
        response.release_conn()


def _refusal(response: urllib3.BaseHTTPResponse) -> CallError:
    error = _error_fields(json.loads(response.read()))
    return CallError(
        error.get('code', 'unknown'),
        error.get('message', ''),
        error.get('execution', 'may_have_run'),
        float(error.get('retry_after_s') or 0),
        error.get('request_id', ''),
        tuple(error.get('entries', ())),
    )


def _error_fields(document: Any) -> dict[str, Any]:
    """Return the router's error; empty for an error that a service sent."""
    error = document.get('error') if isinstance(document, dict) else None
    return error if isinstance(error, dict) else {}


def _read_stream(
    response: urllib3.BaseHTTPResponse,
    started_at_s: float,
    on_token: Callable[[int], None],
) -> Result[ChatCompletion, CallError]:
    texts: list[str] = []
    times_s: list[float] = []
    for event in _events(response):
        if event == _DONE:
            request = response.headers.get('X-Request-Id', '')
            first_s = times_s[0] if times_s else 0
            full_text = ''.join(texts)
            return Success(
                ChatCompletion(request, full_text, first_s, tuple(times_s)),
            )
        chunk = json.loads(event)
        if 'error' in chunk:
            return Failure(_stream_error(chunk['error']))
        text = chunk['choices'][0]['delta'].get('content')
        if text:
            texts.append(text)
            times_s.append(time.monotonic() - started_at_s)
            on_token(len(texts))
    response.close()
    message = f'stream ended after {len(texts)} tokens without [DONE]'
    return Failure(CallError('cut', message, 'may_have_run'))


def _stream_error(error: Any) -> CallError:
    return CallError(
        error.get('code', 'unknown'),
        error.get('message', ''),
        error.get('execution', 'may_have_run'),
        request=error.get('request_id', ''),
    )


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[str]:
    """Yield the data of each server-sent event as it arrives."""
    rest = b''
    for part in response.stream(amt=None):
        rest += part
        *lines, rest = rest.split(b'\n')
        for line in lines:
            if line.startswith(_DATA_PREFIX):
                yield line[len(_DATA_PREFIX) :].strip().decode()
