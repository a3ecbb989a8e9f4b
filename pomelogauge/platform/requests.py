"""Translates between HTTP messages and requests and answers of the model."""

import json
import re
from collections.abc import Callable
from typing import TypeVar

from ..model.entry_request import (
    NO_NOTICE,
    CallerRequest,
    GenerationSize,
    Headers,
    TargetAnswer,
    TargetLoad,
    TargetNotice,
    TargetRequest,
)
from ..model.errors import Finding, FindingsError, SourceLocation
from ..model.ids import ModelName, PromptPart
from ..wire.caller_connection import RequestRead
from ..wire.target_link import HeadRead, RequestHead

FieldT = TypeVar('FieldT')

_ATTEMPT = 'x-attempt-id'
_DEADLINE = 'x-deadline-ms'
_EXPECTED_TARGET = 'x-expect-instance'
_ORGANISATION = 'x-tenant'
_PRIORITY = 'x-request-priority'
_SIZE = 'x-token-counts'
_MODEL = 'x-model'
_LAST_EVENT = 'last-event-id'
_PROMPT_PARTS = 'x-prompt-prefix'
_KEY = 'authorization'
_STAMP = 'x-response-stamp'
_NOT_RUN = 'x-not-executed'
_LOAD = 'x-instance-load'
_LEAVING = 'server-leaving'
_LIMIT = 'server-limit'
_TARGET_RETRY_AFTER = 'retry-after'
_RETRY_AFTER = b'Retry-After'
_SCHEME = 'bearer'
_MS_IN_S = 1000
#: Least urgent priority that targets know.
_LOWEST_PRIORITY = 9
#: The request reached another target than the expected one, which does not
#: run it.
_MISDIRECTED = 421
#: The target turns the request away, perhaps with a time for which it wants
#: no more.
_UNAVAILABLE = 503
#: Longest such time in seconds; a longer one is cut to it.
_MAX_RETRY_AFTER_S = 3600.0
#: Shared parts of one prompt, and characters of a name, that are told apart.
_MAX_PARTS = 32
_MAX_PART_NAME = 64
_EVENT_STREAM = 'text/event-stream'
#: A decimal number; the length keeps it finite.
_DECIMAL = re.compile(r'[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}')

#: Headers that concern one connection only or frame a message; the sender sets
#: its own.
_HOP_BY_HOP = frozenset(
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
#: Headers of requests that only this system sets: what a caller sends in them
#: is not passed on, in particular neither its key nor a forged organisation.
_NOT_FORWARDED = frozenset(
    (_DEADLINE, _EXPECTED_TARGET, _ORGANISATION, _PRIORITY, _KEY, _LAST_EVENT)
)
#: Headers that a request may have only once. As the system reads them, a
#: ``Connection`` header can't remove them either.
_SINGLETONS = frozenset(
    (
        _ATTEMPT,
        _DEADLINE,
        _KEY,
        _SIZE,
        _MODEL,
        _PROMPT_PARTS,
        _LAST_EVENT,
        'host',
    )
)


def decode_request(read: RequestRead, now_s: float) -> CallerRequest:
    """Decode a caller's request.

    Parameters
    ----------
    read
        The request as read from the connection.
    now_s
        Time of the local clock when the request had been read; the caller's
        deadline counts from it.

    Raises
    ------
    FindingsError
        The request target is not a path, or headers are missing, repeated or
        malformed; all findings together.

    """
    findings: list[Finding] = []
    fields = _fields(read.headers, findings)
    target = read.target.decode('latin-1')
    if not target.startswith('/'):
        findings.append(_finding('request target', 'is not a path'))
    if not fields.get(_ATTEMPT):
        findings.append(_finding(_ATTEMPT, 'is missing'))
    req = CallerRequest(
        attempt=fields.get(_ATTEMPT, ''),
        method=read.method,
        target=read.target,
        host=_host_without_port(fields.get('host', '')),
        path=target.partition('?')[0],
        key=_api_key(fields.get(_KEY, '')),
        budget_s=_parse_field(fields, _DEADLINE, _parse_deadline, findings),
        model=ModelName(fields.get(_MODEL, '')),
        size=_parse_field(fields, _SIZE, _parse_size, findings),
        last_event=fields.get(_LAST_EVENT, ''),
        shared_parts=_shared_parts(fields.get(_PROMPT_PARTS, '')),
        headers=_forwarded(read.headers, _NOT_FORWARDED),
        body=read.body,
        received_at_s=now_s,
    )
    if findings:
        raise FindingsError(findings)
    return req


def encode_request(sent: TargetRequest) -> RequestHead:
    """Encode the head of the request that is sent to a target.

    The priority is sent only for generations and is at most 9, the least
    urgent one.
    """
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
        priority = str(min(sent.priority, _LOWEST_PRIORITY)).encode()
        headers.append((b'X-Request-Priority', priority))
    if sent.last_event:
        headers.append((b'Last-Event-Id', sent.last_event.encode()))
    return RequestHead(req.method, req.target, tuple(headers))


def decode_answer(head: HeadRead) -> TargetAnswer:
    """Decode the head of a target's answer.

    Headers never make it fail: a malformed load or limit counts as none.
    """
    fields = {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in head.headers
    }
    media_type = fields.get('content-type', '')
    return TargetAnswer(
        status=head.status,
        headers=_forwarded(head.headers, frozenset()),
        attempt=fields.get(_ATTEMPT, ''),
        was_not_run=_NOT_RUN in fields or head.status == _MISDIRECTED,
        is_stamped=_STAMP in fields,
        is_encoded='content-encoding' in fields,
        is_stream=media_type.startswith(_EVENT_STREAM),
        load=_parse_load(fields.get(_LOAD, '')),
        notice=_notice(head),
        limit_per_s=_limit_per_s(head),
    )


def refusal_headers(retry_after_s: float) -> Headers:
    """Return the headers of a response that this system generates itself.

    Parameters
    ----------
    retry_after_s
        Seconds after which the caller may retry; zero sends no
        ``Retry-After``.

    """
    media_type = (b'Content-Type', b'application/json')
    if not retry_after_s:
        return (media_type,)
    return (media_type, (_RETRY_AFTER, f'{retry_after_s:.2f}'.encode()))


def refusal_body(message: str) -> bytes:
    """Return the JSON body of a response that this system generates itself.

    The message is sent to the caller, so that it holds no values of headers.
    """
    return json.dumps({'error': message}).encode()


def _fields(headers: Headers, findings: list[Finding]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for raw, value in headers:
        name = raw.decode('latin-1').lower()
        if name in _SINGLETONS and name in fields:
            findings.append(_finding(name, 'is repeated'))
        fields[name] = value.decode('latin-1').strip()
    return fields


def _forwarded(headers: Headers, removed: frozenset[str]) -> Headers:
    connection_options = {
        name.strip().lower()
        for raw, value in headers
        if raw.lower() == b'connection'
        for name in value.decode('latin-1').split(',')
    }
    dropped = _HOP_BY_HOP | removed | (connection_options - _SINGLETONS)
    return tuple(
        (raw, value)
        for raw, value in headers
        if raw.decode('latin-1').lower() not in dropped
    )


def _parse_field(
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


def _parse_deadline(text: str) -> float:
    if not text.isascii() or not text.isdecimal():
        raise ValueError('is not a number of milliseconds')
    return int(text) / _MS_IN_S


def _parse_size(text: str) -> GenerationSize:
    prompt, _, answer = text.partition(',')
    if not (prompt.strip().isdecimal() and answer.strip().isdecimal()):
        raise ValueError('is not a pair of token counts')
    return GenerationSize(int(prompt), int(answer))


def _shared_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the identifiers of all parts of a prompt but the last one.

    The header is forwarded unchanged; what is no identifier and number of
    tokens is left out, and so is what is too long or too much to remember.
    """
    entries = text.split(',')
    shared = min(len(entries) - 1, _MAX_PARTS)
    fields = [entry.strip().partition(':') for entry in entries[:shared]]
    return tuple(
        PromptPart(name.lower())
        for name, _, tokens in fields
        if 0 < len(name) <= _MAX_PART_NAME and tokens.isdecimal()
    )


def _parse_load(text: str) -> TargetLoad | None:
    parts = [part.strip() for part in text.split(',')]
    if len(parts) == 3 and all(part.isdecimal() for part in parts):
        return TargetLoad(*(int(part) for part in parts))
    return None


def _notice(head: HeadRead) -> TargetNotice:
    """Return what an answer asks for.

    Another target's answer asks for nothing on behalf of the expected one. Of
    repeated headers, the one that asks for more counts.
    """
    if head.status == _MISDIRECTED:
        return NO_NOTICE
    retry_after_s = 0.0
    if head.status == _UNAVAILABLE:
        texts = _list_items(head.headers, _TARGET_RETRY_AFTER)
        retry_after_s = max(map(_parse_seconds, texts), default=0)
    is_leaving = '1' in _list_items(head.headers, _LEAVING)
    return TargetNotice(is_leaving, retry_after_s)


def _limit_per_s(head: HeadRead) -> float | None:
    """Return the limit that an answer names; the lowest of several.

    Another target's answer names none on behalf of the expected one.
    """
    if head.status == _MISDIRECTED:
        return None
    limits = [
        float(text)
        for text in _list_items(head.headers, _LIMIT)
        if _DECIMAL.fullmatch(text)
    ]
    return min(limits, default=None)


def _list_items(headers: Headers, name: str) -> tuple[str, ...]:
    """Return the items of a header that may be repeated or hold a list."""
    return tuple(
        text.strip()
        for raw, value in headers
        if raw.decode('latin-1').lower() == name
        for text in value.decode('latin-1').split(',')
    )


def _parse_seconds(text: str) -> float:
    """Return a number of seconds; zero for a date or a malformed number."""
    try:
        seconds = float(text)
    except ValueError:
        return 0
    return min(seconds, _MAX_RETRY_AFTER_S) if seconds > 0 else 0


def _host_without_port(text: str) -> str:
    return text.rpartition(':')[0].lower() if ':' in text else text.lower()


def _api_key(text: str) -> str:
    scheme, _, key = text.partition(' ')
    return key.strip() if scheme.lower() == _SCHEME else text


def _finding(name: str, message: str) -> Finding:
    return Finding(SourceLocation('request', path=name), message)
