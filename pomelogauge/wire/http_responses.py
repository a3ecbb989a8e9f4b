"""HTTP responses to callers and the encoding of refusals."""

import json
import math
from collections.abc import Generator
from dataclasses import dataclass

from ..model.ids import Address, RequestId
from ..model.request import Refusal, RefusalCode

JSON_TYPE = 'application/json'

_STATUS = {
    RefusalCode.MALFORMED: '400 Bad Request',
    RefusalCode.KEY_MISSING: '400 Bad Request',
    RefusalCode.KEY_REUSED: '409 Conflict',
    RefusalCode.OUTCOME_UNKNOWN: '409 Conflict',
    RefusalCode.ANSWER_NOT_KEPT: '409 Conflict',
    RefusalCode.UNKNOWN_KEY: '401 Unauthorized',
    RefusalCode.NOT_ALLOWED: '403 Forbidden',
    RefusalCode.UNKNOWN_MODEL: '404 Not Found',
    RefusalCode.UNKNOWN_SERVICE: '404 Not Found',
    RefusalCode.UNKNOWN_CALL: '404 Not Found',
    RefusalCode.TOO_LARGE: '413 Content Too Large',
    RefusalCode.OVER_LIMIT: '429 Too Many Requests',
    RefusalCode.TARGET_LOST: '502 Bad Gateway',
    RefusalCode.TARGET_REFUSED: '502 Bad Gateway',
    RefusalCode.INTERNAL: '500 Internal Server Error',
}
UNAVAILABLE = '503 Service Unavailable'


@dataclass(frozen=True)
class Header:
    """A header of a response: its name and the text of its value."""

    name: str
    text: str


@dataclass(frozen=True)
class HttpResponse:
    """A response to a caller.

    Parameters
    ----------
    status
        Status code and reason phrase, such as ``200 OK``.
    body
        The complete body, or a generator of its parts for a stream.
    media_type
        Value of ``Content-Type``.
    headers
        Further headers, without ``Content-Type`` and ``Content-Length``.

    """

    status: str
    body: bytes | Generator[bytes, None, None]
    media_type: str = JSON_TYPE
    headers: tuple[Header, ...] = ()


def json_response(document: object, status: str = '200 OK') -> HttpResponse:
    """Return a response that carries a JSON document."""
    return HttpResponse(status, json.dumps(document).encode())


def text_response(text: str, status: str = '200 OK') -> HttpResponse:
    """Return a response that carries plain text."""
    return HttpResponse(status, text.encode(), 'text/plain; charset=utf-8')


def refusal_response(
    refusal: Refusal,
    entries: tuple[Address, ...] = (),
) -> HttpResponse:
    """Return the response to a refused request.

    The status follows from the refusal's code; a code without an entry in
    the table gets status 503, which callers may retry.

    Parameters
    ----------
    refusal
        Code, message and retry hint of the refusal.
    entries
        Addresses of other routers that may accept the request.

    """
    headers = request_headers(refusal.request)
    if refusal.retry_after_s > 0:
        seconds = math.ceil(refusal.retry_after_s)
        headers = (*headers, Header('Retry-After', str(seconds)))
    status = _STATUS.get(refusal.code, UNAVAILABLE)
    return HttpResponse(
        status, encode_refusal(refusal, entries), headers=headers
    )


def encode_refusal(
    refusal: Refusal,
    entries: tuple[Address, ...] = (),
) -> bytes:
    """Return the JSON document of a refusal.

    Parameters
    ----------
    refusal
        Code, message and retry hint of the refusal.
    entries
        Addresses of other routers; left out of the document if empty.

    """
    error: dict[str, object] = {
        'message': refusal.message,
        'type': _error_type(refusal.code),
        'code': refusal.code,
        'execution': refusal.execution,
        'retry_after_s': refusal.retry_after_s,
        'request_id': refusal.request,
    }
    if entries:
        error['entries'] = entries
    return json.dumps({'error': error}).encode()


def request_headers(request: RequestId) -> tuple[Header, ...]:
    """Return the ``X-Request-Id`` header; none without an identifier."""
    return (Header('X-Request-Id', request),) if request else ()


def _error_type(code: RefusalCode) -> str:
    status = _STATUS.get(code, UNAVAILABLE)
    is_client_error = status.startswith('4')
    return 'invalid_request_error' if is_client_error else 'server_error'
