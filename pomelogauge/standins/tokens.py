"""Tokens of an answer as a function of the messages asked."""

import hashlib
import json
from typing import Any

#: Hexadecimal digits of one token.
_TOKEN_DIGITS = 6
_PREFIX_DIGITS = 16


def token_text(messages: Any, index: int) -> str:
    """Return one token of the answer to some messages."""
    return token_of(messages_digest(messages), index)


def messages_digest(messages: Any) -> str:
    """Return a digest of messages, for the tokens of one answer."""
    return hashlib.sha256(_text(messages)).hexdigest()


def token_of(digest: str, index: int) -> str:
    """Return one token of the answer to messages with a digest."""
    named = f'{digest}/{index}'.encode()
    return f'{hashlib.sha256(named).hexdigest()[:_TOKEN_DIGITS]} '


def prefix_of(messages: Any) -> str:
    """Return the name of the prefix that an engine caches."""
    first = messages[:1] if isinstance(messages, list) else messages
    return hashlib.sha256(_text(first)).hexdigest()[:_PREFIX_DIGITS]


def _text(messages: Any) -> bytes:
    return json.dumps(messages, sort_keys=True).encode()
