"""Translates callers' requests and targets' answers."""

import json
from collections.abc import Callable
from typing import TypeVar

from ..model.entry_request import (
    CallerRequest,
    GenerationSize,
    Headers,
    TargetAnswer,
    TargetLoad,
    TargetRequest,
)
from ..model.errors import Finding, FindingsError, SourceLocation
from ..model.ids import ModelName
from ..wire.caller_connection import RequestRead
from ..wire.target_link import HeadRead, RequestHead

FieldT = TypeVar('FieldT')

_ATTEMPT = 'x-attempt-id'
_BUDGET = 'x-deadline-ms'
_EXPECTED = 'x-expect-instance'
_ORGANISATION = 'x-tenant'
_RANK = 'x-request-priority'
_SIZE = 'x-token-counts'
_MODEL = 'x-model'
_LAST_EVENT = 'last-event-id'
_KEY = 'authorization'
_STAMP = 'x-response-stamp'
_NOT_RUN = 'x-not-executed'
_LOAD = 'x-instance-load'
_RETRY_AFTER = b'Retry-After'
_SCHEME = 'bearer'
_MS_IN_S = 1000
_LOWEST_RANK = 9
_MISDIRECTED = 421
_EVENT_STREAM = 'text/event-stream'

#: Headers that concern one connection only.
_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        'content-length',
    )
)
#: Headers of requests that this system alone sets.
_OWN = frozenset((_BUDGET, _EXPECTED, _ORGANISATION, _RANK, _KEY, _LAST_EVENT))
#: Headers that may come once only.
_SINGLE = frozenset(
    (_ATTEMPT, _BUDGET, _KEY, _SIZE, _MODEL, _LAST_EVENT, 'host')
)


def decode_request(read: RequestRead, now_s: float) -> CallerRequest:
    """Decode a caller's request.

    Raises
    ------
    FindingsError
        Headers are missing, repeated or malformed; all findings together.

    """
    findings: list[Finding] = []
    fields = _fields(read.headers, findings)
    target = read.target.decode('latin-1')
    if not target.startswith('/'):
        findings.append(_finding('request target', 'is no path'))
    if not fields.get(_ATTEMPT):
        findings.append(_finding(_ATTEMPT, 'is missing'))
    req = CallerRequest(
        attempt=fields.get(_ATTEMPT, ''),
        method=read.method,
        target=read.target,
        host=_host(fields.get('host', '')),
        path=target.partition('?')[0],
        key=_key(fields.get(_KEY, '')),
        budget_s=_parsed(fields, _BUDGET, _seconds, findings),
        model=ModelName(fields.get(_MODEL, '')),
        size=_parsed(fields, _SIZE, _size, findings),
        last_event=fields.get(_LAST_EVENT, ''),
        headers=_kept(read.headers, _OWN),
        body=read.body,
        received_at_s=now_s,
    )
    if findings:
        raise FindingsError(findings)
    return req


def encode_request(sent: TargetRequest) -> RequestHead:
    """Encode what a target is sent."""
    req = sent.req
    headers = [
        *req.headers,
        (b'X-Deadline-Ms', str(int(sent.remaining_s * _MS_IN_S)).encode()),
        (b'X-Expect-Instance', sent.expected.encode()),
    ]
    if req.body or req.method not in {b'GET', b'HEAD', b'DELETE'}:
        length = str(len(req.body)).encode()
        headers.append((b'Content-Length', length))
    if sent.organisation:
        headers.append((b'X-Tenant', sent.organisation.encode()))
    if req.size is not None:
        rank = str(min(sent.priority, _LOWEST_RANK)).encode()
        headers.append((b'X-Request-Priority', rank))
    if sent.last_event:
        headers.append((b'Last-Event-Id', sent.last_event.encode()))
    return RequestHead(req.method, req.target, tuple(headers))


def decode_answer(head: HeadRead) -> TargetAnswer:
    """Decode the head of a target's answer."""
    fields = {
        name.decode('latin-1').lower(): found.decode('latin-1')
        for name, found in head.headers
    }
    media_type = fields.get('content-type', '')
    return TargetAnswer(
        status=head.status,
        headers=_kept(head.headers, frozenset()),
        attempt=fields.get(_ATTEMPT, ''),
        was_not_run=_NOT_RUN in fields or head.status == _MISDIRECTED,
        is_stamped=_STAMP in fields,
        is_encoded='content-encoding' in fields,
        is_stream=media_type.startswith(_EVENT_STREAM),
        load=_load(fields.get(_LOAD, '')),
    )


def refusal_headers(retry_after_s: float) -> Headers:
    """Return the headers of an answer of this system's own."""
    kind = (b'Content-Type', b'application/json')
    if not retry_after_s:
        return (kind,)
    return (kind, (_RETRY_AFTER, f'{retry_after_s:.2f}'.encode()))


def refusal_body(message: str) -> bytes:
    """Return the body of an answer of this system's own."""
    return json.dumps({'error': message}).encode()


def _fields(headers: Headers, findings: list[Finding]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for raw, found in headers:
        name = raw.decode('latin-1').lower()
        if name in _SINGLE and name in fields:
            findings.append(_finding(name, 'is repeated'))
        fields[name] = found.decode('latin-1').strip()
    return fields


def _kept(headers: Headers, own: frozenset[str]) -> Headers:
    listed = {
        name.strip().lower()
        for raw, found in headers
        if raw.lower() == b'connection'
        for name in found.decode('latin-1').split(',')
    }
    left_out = _HOP | own | (listed - _SINGLE)
    return tuple(
        (raw, found)
        for raw, found in headers
        if raw.decode('latin-1').lower() not in left_out
    )


def _parsed(
    fields: dict[str, str],
    name: str,
    parse: Callable[[str], FieldT],
    findings: list[Finding],
) -> FieldT | None:
    if name not in fields:
        return None
    try:
        return parse(fields[name])
    except ValueError as exc:
        findings.append(_finding(name, str(exc)))
        return None


def _seconds(text: str) -> float:
    if not text.isascii() or not text.isdecimal():
        raise ValueError('is not a number of milliseconds')
    return int(text) / _MS_IN_S


def _size(text: str) -> GenerationSize:
    prompt, _, answer = text.partition(',')
    if not (prompt.strip().isdecimal() and answer.strip().isdecimal()):
        raise ValueError('is not a pair of token counts')
    return GenerationSize(int(prompt), int(answer))


def _load(text: str) -> TargetLoad | None:
    parts = [part.strip() for part in text.split(',')]
    if len(parts) == 3 and all(part.isdecimal() for part in parts):
        return TargetLoad(*(int(part) for part in parts))
    return None


def _host(text: str) -> str:
    return text.rpartition(':')[0].lower() if ':' in text else text.lower()


def _key(text: str) -> str:
    scheme, _, key = text.partition(' ')
    return key.strip() if scheme.lower() == _SCHEME else text


def _finding(name: str, message: str) -> Finding:
    return Finding(SourceLocation('request', path=name), message)
