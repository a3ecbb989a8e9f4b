"""Encodes JSON bodies and reads their fields with checked types."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

RecordT = TypeVar('RecordT')


@dataclass(frozen=True)
class DecodeError:
    """A body that is not JSON or misses a field of the expected type."""

    message: str


def encode(fields: dict[str, Any]) -> bytes:
    """Encode a body as compact JSON."""
    return json.dumps(fields, separators=(',', ':')).encode()


def decode(
    body: bytes,
    build: Callable[[Any], RecordT],
) -> Result[RecordT, DecodeError]:
    """Decode a body.

    Parameters
    ----------
    body
        The encoded body.
    build
        Builds the record from the decoded document; may raise
        ``ValueError``, ``LookupError`` or ``TypeError``.

    Returns
    -------
    Result
        The record, or an error with the type and text of the exception.

    """
    try:
        return Success(build(json.loads(body)))
    except (ValueError, LookupError, TypeError) as exc:
        return Failure(DecodeError(f'{type(exc).__name__}: {exc}'))


def text_of(fields: Any, name: str, default: str | None = None) -> str:
    """Return a string field.

    Parameters
    ----------
    fields
        Decoded JSON object.
    name
        Name of the field.
    default
        Value for an absent field; ``None`` makes the field mandatory.

    Raises
    ------
    LookupError
        The field is absent and has no default.
    TypeError
        The field is not a string.

    """
    text = fields[name] if default is None else optional(fields, name, default)
    if isinstance(text, str):
        return text
    raise TypeError(f'{name} must be a string, got {type(text).__name__}')


def number_of(number: Any) -> int:
    """Return a decoded value that has to be an integer.

    Raises
    ------
    TypeError
        The value is not an integer; booleans are none.

    """
    if isinstance(number, int) and not isinstance(number, bool):
        return number
    raise TypeError(f'expected an integer, got {number!r}')


def optional(fields: Any, name: str, default: Any) -> Any:
    """Return a field of a decoded object, or ``default`` if it is absent."""
    return fields[name] if name in fields else default
