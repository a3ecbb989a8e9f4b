"""Keys and JSON encoding of the rows of the ``intents`` table."""

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
    as_object,
    int_field,
    text_field,
)

INTENTS = 'intents'
#: Number of buckets; the key of a row starts with the number of its bucket.
BUCKET_COUNT = 4096
#: Hexadecimal digits of a bucket's number.
_BUCKET_DIGITS = 3
#: Longest readable name in a key, in characters; a longer one is hashed.
_MAX_NAME_LENGTH = 200


def intent_key(req: ServiceRequest) -> RowKey:
    """Return the key of the row that records a call.

    Calls with the same organisation, service, call name and idempotency key
    share a row. The key starts with a bucket, so that a sweep can read the
    table in parts.
    """
    parts = (req.organisation, req.service, req.call, req.idempotency_key)
    name = '/'.join(quote(part, safe='') for part in parts)
    digest = sha256(name.encode()).hexdigest()
    if len(name) > _MAX_NAME_LENGTH:
        name = digest
    return RowKey(INTENTS, f'{digest[:_BUCKET_DIGITS]}/{name}')


def bucket_prefix(bucket: int) -> str:
    """Return the prefix of all keys in a bucket.

    Parameters
    ----------
    bucket
        Number of the bucket, from zero to ``BUCKET_COUNT`` - 1.

    """
    return f'{bucket:0{_BUCKET_DIGITS}x}/'


def encode_intent(intent: Intent) -> str:
    """Encode a row; it has no ``answer`` unless one is kept."""
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
    """Decode a row; a failure says what is wrong with it."""
    try:
        return Success(_intent(as_object(json.loads(row.text))))
    except DECODE_ERRORS as exc:
        return Failure(RowError(row.key, repr(exc)))


def _intent(document: Document) -> Intent:
    answer = document.get('answer')
    return Intent(
        RequestId(text_field(document, 'request')),
        text_field(document, 'body_hash'),
        NodeName(text_field(document, 'router')),
        Incarnation(text_field(document, 'incarnation')),
        IntentState(text_field(document, 'state')),
        int_field(document, 'written_at_s'),
        _answer(as_object(answer)) if answer else None,
    )


def _answer(document: Document) -> KeptAnswer:
    return KeptAnswer(
        int_field(document, 'status'),
        b64decode(text_field(document, 'body')),
        text_field(document, 'media_type'),
    )
