"""Requests of callers as WSGI gives them."""

import socket
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol, cast
from uuid import uuid4

from returns.result import Failure, Result, Success

from ..model.ids import RequestId
from ..model.request import Refusal, RefusalCode
from .cheroot_connections import SOCKET_KEY

_BEARER = 'bearer '
_MAX_TRACE_LENGTH = 128


class BodyStream(Protocol):
    """A request's body."""

    maxlen: int

    def read(self, size: int) -> bytes:
        """Return up to so many bytes."""


@dataclass(frozen=True)
class HttpRequest:
    """A request whose body was read.

    Parameters
    ----------
    request
        Identifier that every hop carries.
    method, path
        What is asked.
    key
        Caller's key; empty for none.
    body
        The body.
    idempotency_key
        Caller's idempotency key; empty for none.
    trace_parent
        Trace context header; empty for none.
    sock
        The caller's connection, where the server gives it.

    """

    request: RequestId
    method: str
    path: str
    key: str = ''
    body: bytes = b''
    idempotency_key: str = ''
    trace_parent: str = ''
    sock: socket.socket | None = None

    def refuse(self, code: RefusalCode, message: str) -> Refusal:
        """Return a refusal of this request."""
        return Refusal(code, message, request=self.request)


def read_request(
    environ: Mapping[str, object],
    max_body_bytes: int,
    request: RequestId,
) -> Result[HttpRequest, Refusal]:
    """Read a request and its body within a bound.

    Parameters
    ----------
    environ
        WSGI environment.
    max_body_bytes
        Bound of the body.
    request
        Its identifier.

    """
    body = _read_body(environ, max_body_bytes, request)
    if isinstance(body, Failure):
        return body
    return Success(
        HttpRequest(
            request,
            _text(environ, 'REQUEST_METHOD'),
            _text(environ, 'PATH_INFO'),
            _bearer(_text(environ, 'HTTP_AUTHORIZATION')),
            body.unwrap(),
            # A shortened key could be that of another call.
            _text(environ, 'HTTP_IDEMPOTENCY_KEY'),
            trace_parent_of(environ),
            _socket(environ),
        )
    )


def trace_parent_of(environ: Mapping[str, object]) -> str:
    """Return the caller's trace context header; empty for none."""
    return _text(environ, 'HTTP_TRACEPARENT')[:_MAX_TRACE_LENGTH]


def new_request_id() -> RequestId:
    """Return an identifier that no other request has.

    A caller's own identifier is not taken over, because two callers may
    choose the same one.
    """
    return RequestId(f'req-{uuid4().hex}')


def _read_body(
    environ: Mapping[str, object],
    max_body_bytes: int,
    request: RequestId,
) -> Result[bytes, Refusal]:
    too_large = Refusal(
        RefusalCode.TOO_LARGE,
        f'the body is larger than {max_body_bytes} bytes',
        request=request,
    )
    malformed = Refusal(
        RefusalCode.MALFORMED,
        'the body could not be read',
        request=request,
    )
    try:
        length = int(_text(environ, 'CONTENT_LENGTH') or 0)
    except ValueError:
        return Failure(malformed)
    if length > max_body_bytes:
        return Failure(too_large)
    body = _read_bytes(environ, max_body_bytes)
    if body is None or len(body) < length:
        return Failure(malformed)
    return Failure(too_large) if len(body) > max_body_bytes else Success(body)


def _read_bytes(
    environ: Mapping[str, object],
    max_body_bytes: int,
) -> bytes | None:
    """Return the body, one byte too many at most; ``None`` if malformed."""
    stream = cast(BodyStream, environ['wsgi.input'])
    is_chunked = bool(environ.get('wsgi.input_terminated'))
    wanted = max_body_bytes + 1
    if is_chunked:
        # The server's reader takes whole chunks, of any announced length.
        stream.maxlen = 2 * max_body_bytes
    try:
        return stream.read(wanted)
    except ValueError:
        return None
    except Exception:
        # The server's reader has a type of its own for what is too large.
        return bytes(wanted) if is_chunked else None


def _socket(environ: Mapping[str, object]) -> socket.socket | None:
    sock = environ.get(SOCKET_KEY)
    return sock if isinstance(sock, socket.socket) else None


def _text(environ: Mapping[str, object], name: str) -> str:
    return str(environ.get(name) or '')


def _bearer(header: str) -> str:
    if header.lower().startswith(_BEARER):
        return header[len(_BEARER) :].strip()
    return ''
