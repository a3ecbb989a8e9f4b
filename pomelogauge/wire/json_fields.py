"""Typed fields of JSON bodies."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from returns.result import Failure, Result, Success

RecordT = TypeVar('RecordT')


@dataclass(frozen=True)
class DecodeError:
    """A body that can't be read."""

    message: str


def encode(fields: dict[str, Any]) -> bytes:
    """Encode a body."""
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
        Makes a record of the fields; it may fail as the functions of this
        module do.

    """
    try:
        return Success(build(json.loads(body)))
    except (ValueError, LookupError, TypeError) as exc:
        return Failure(DecodeError(f'{type(exc).__name__}: {exc}'))


def text_of(fields: Any, name: str, default: str | None = None) -> str:
    """Return a text.

    Raises
    ------
    LookupError
        The field is absent and has no default.
    TypeError
        The field is not a text.

    """
    text = fields[name] if default is None else optional(fields, name, default)
    if isinstance(text, str):
        return text
    raise TypeError(f'{name} is not a text')


def number_of(number: Any) -> int:
    """Return a whole number.

    Raises
    ------
    TypeError
        It is something else.

    """
    if isinstance(number, int) and not isinstance(number, bool):
        return number
    raise TypeError(f'{number!r} is not a number')


def optional(fields: Any, name: str, default: Any) -> Any:
    """Return a field or its default."""
    return fields[name] if name in fields else default
