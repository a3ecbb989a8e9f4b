"""Answers to callers, and the encoding of refusals."""

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
    """One header of an answer."""

    name: str
    text: str


@dataclass(frozen=True)
class HttpResponse:
    """An answer to a caller.

    Parameters
    ----------
    status
        Status line, such as ``200 OK``.
    body
        The whole body, or its parts as they come.
    media_type
        Content type.
    headers
        Other headers.

    """

    status: str
    body: bytes | Generator[bytes, None, None]
    media_type: str = JSON_TYPE
    headers: tuple[Header, ...] = ()


def json_response(document: object, status: str = '200 OK') -> HttpResponse:
    """Return an answer that carries a JSON document."""
    return HttpResponse(status, json.dumps(document).encode())


def text_response(text: str, status: str = '200 OK') -> HttpResponse:
    """Return an answer that carries plain text."""
    return HttpResponse(status, text.encode(), 'text/plain; charset=utf-8')


def refusal_response(
    refusal: Refusal,
    entries: tuple[Address, ...] = (),
) -> HttpResponse:
    """Return the answer that says a refusal.

    Parameters
    ----------
    refusal
        What is refused.
    entries
        Routers to ask instead.

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
    """Return the JSON document of a refusal."""
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
    """Return the header that names a request."""
    return (Header('X-Request-Id', request),) if request else ()


def _error_type(code: RefusalCode) -> str:
    status = _STATUS.get(code, UNAVAILABLE)
    is_of_caller = status.startswith('4')
    return 'invalid_request_error' if is_of_caller else 'server_error'
