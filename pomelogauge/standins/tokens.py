"""Deterministic response tokens, computed from the request messages."""

import hashlib
import json
from typing import Any

#: Hexadecimal digits of one token.
_TOKEN_DIGITS = 6
_PREFIX_DIGITS = 16


def token_text(messages: Any, index: int) -> str:
    """Return the token at an index of the response to some messages."""
    return token_of(messages_digest(messages), index)


def messages_digest(messages: Any) -> str:
    """Return the digest of messages from which the tokens are derived."""
    return hashlib.sha256(_text(messages)).hexdigest()


def token_of(digest: str, index: int) -> str:
    """Return the token at an index of the response for a message digest."""
    named = f'{digest}/{index}'.encode()
    return f'{hashlib.sha256(named).hexdigest()[:_TOKEN_DIGITS]} '


def prefix_of(messages: Any) -> str:
    """Return the cache key of the first message."""
    first = messages[:1] if isinstance(messages, list) else messages
    return hashlib.sha256(_text(first)).hexdigest()[:_PREFIX_DIGITS]


def _text(messages: Any) -> bytes:
    return json.dumps(messages, sort_keys=True).encode()
