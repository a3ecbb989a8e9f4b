"""Reads callers' requests from the WSGI environment."""

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
    """The server's reader of a request's body.

    ``maxlen`` is its limit for chunked bodies, in bytes.
    """

    maxlen: int

    def read(self, size: int) -> bytes:
        """Return at most ``size`` bytes; fewer at the end of the body."""


@dataclass(frozen=True)
class HttpRequest:
    """A request with its complete body.

    Parameters
    ----------
    request
        Identifier of the request, in the logs and spans of every process.
    method, path
        HTTP method, and path without the query.
    key
        API key of the bearer authorization; empty for none.
    body
        The complete body, not decoded.
    idempotency_key
        Value of the ``Idempotency-Key`` header; empty for none.
    trace_parent
        Value of the ``traceparent`` header; empty for none.
    sock
        Socket of the caller; ``None`` under a server that does not give it.

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
    """Read a request with its body.

    Parameters
    ----------
    environ
        WSGI environment of the request.
    max_body_bytes
        Largest body; a larger one is refused.
    request
        Identifier to give to the request.

    Returns
    -------
    Result
        The request, or the refusal of a body that is too large, incomplete
        or malformed.

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
            # Not truncated: two long keys could become the same one.
            _text(environ, 'HTTP_IDEMPOTENCY_KEY'),
            trace_parent_of(environ),
            _socket(environ),
        )
    )


def trace_parent_of(environ: Mapping[str, object]) -> str:
    """Return the ``traceparent`` header, truncated; empty for none."""
    return _text(environ, 'HTTP_TRACEPARENT')[:_MAX_TRACE_LENGTH]


def new_request_id() -> RequestId:
    """Return a unique identifier.

    An identifier from the caller is not used, because two callers may choose
    the same one.
    """
    return RequestId(f'req-{uuid4().hex}')


def _read_body(
    environ: Mapping[str, object],
    max_body_bytes: int,
    request: RequestId,
) -> Result[bytes, Refusal]:
    too_large = Refusal(
        RefusalCode.TOO_LARGE,
        f'body is larger than {max_body_bytes} bytes',
        request=request,
    )
    malformed = Refusal(
        RefusalCode.MALFORMED,
        'body is malformed or shorter than its Content-Length',
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
    """Return the body; ``None`` if malformed, one byte more if too large."""
    stream = cast(BodyStream, environ['wsgi.input'])
    is_chunked = bool(environ.get('wsgi.input_terminated'))
    read_limit = max_body_bytes + 1
    if is_chunked:
        # The server's reader buffers a chunk of any announced length unless
        # it has a limit.
        stream.maxlen = 2 * max_body_bytes
    try:
        return stream.read(read_limit)
    except ValueError:
        return None
    except Exception:
        # The server's reader has its own exception type, derived from
        # Exception only, for a chunked body beyond its limit.
        return bytes(read_limit) if is_chunked else None


def _socket(environ: Mapping[str, object]) -> socket.socket | None:
    sock = environ.get(SOCKET_KEY)
    return sock if isinstance(sock, socket.socket) else None


def _text(environ: Mapping[str, object], name: str) -> str:
    return str(environ.get(name) or '')


def _bearer(header: str) -> str:
    if header.lower().startswith(_BEARER):
        return header[len(_BEARER) :].strip()
    return ''
