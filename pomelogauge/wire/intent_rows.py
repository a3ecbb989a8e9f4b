"""JSON texts and keys of the rows of ``intents``."""

import json
from base64 import b64decode, b64encode
from hashlib import sha256
from urllib.parse import quote

from returns.result import Failure, Result, Success

from ..model.ids import Incarnation, NodeName, RequestId
from ..model.intent import Intent, IntentState, KeptAnswer
from ..model.request import ServiceRequest
from ..tables.protocols import Row, RowKey
from .rows import (
    DECODE_ERRORS,
    Document,
    RowError,
    as_document,
    number,
    text,
)

INTENTS = 'intents'
#: Buckets of the table; a key starts with the number of its own.
BUCKET_COUNT = 4096
_BUCKET_DIGITS = 3
_LONGEST_NAME = 200


def intent_key(req: ServiceRequest) -> RowKey:
    """Return the key of a call's row.

    It starts with its bucket, so that a sweep reads a part of the table.
    """
    parts = (req.organisation, req.service, req.call, req.idempotency_key)
    name = '/'.join(quote(part, safe='') for part in parts)
    digest = sha256(name.encode()).hexdigest()
    if len(name) > _LONGEST_NAME:
        name = digest
    return RowKey(INTENTS, f'{digest[:_BUCKET_DIGITS]}/{name}')


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of the keys of one bucket."""
    return f'{bucket:0{_BUCKET_DIGITS}x}/'


def encode_intent(intent: Intent) -> str:
    """Return the text of a row of ``intents``."""
    document: dict[str, object] = {
        'request': intent.request,
        'body_hash': intent.body_hash,
        'router': intent.router,
        'incarnation': intent.incarnation,
        'state': intent.state.value,
        'written_at_s': intent.written_at_s,
    }
    if intent.answer:
        document['answer'] = {
            'status': intent.answer.status,
            'media_type': intent.answer.media_type,
            'body': b64encode(intent.answer.body).decode(),
        }
    return json.dumps(document)


def decode_intent(row: Row) -> Result[Intent, RowError]:
    """Read a row of ``intents``."""
    try:
        return Success(_intent(as_document(json.loads(row.text))))
    except DECODE_ERRORS as exc:
        return Failure(RowError(row.key, repr(exc)))


def _intent(document: Document) -> Intent:
    answer = document.get('answer')
    return Intent(
        RequestId(text(document, 'request')),
        text(document, 'body_hash'),
        NodeName(text(document, 'router')),
        Incarnation(text(document, 'incarnation')),
        IntentState(text(document, 'state')),
        number(document, 'written_at_s'),
        _answer(as_document(answer)) if answer else None,
    )


def _answer(document: Document) -> KeptAnswer:
    return KeptAnswer(
        number(document, 'status'),
        b64decode(text(document, 'body')),
        text(document, 'media_type'),
    )
