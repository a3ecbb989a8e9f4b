"""The record of a run as lines of JSON."""

import json
from collections.abc import Iterable
from dataclasses import asdict, fields
from pathlib import Path
from typing import Any

from .record import Event

_TYPE = 'event'

_TYPES: dict[str, type[Any]] = {
    event.__name__: event for event in Event.__args__
}


def encode_event(event: Event) -> str:
    """Return the JSON line of an event, without the line's end."""
    return json.dumps({_TYPE: type(event).__name__, **asdict(event)})


def decode_event(line: str) -> Event:
    """Return the event of a JSON line.

    Raises
    ------
    ValueError
        The line is no event.

    """
    try:
        return _decode(json.loads(line))
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'no event: {exc!r}') from exc


def write_record(path: Path, events: Iterable[Event]) -> None:
    """Write events as JSON lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = ''.join(f'{encode_event(event)}\n' for event in events)
    path.write_text(lines, encoding='utf-8')


def read_record(path: Path) -> tuple[Event, ...]:
    """Read a record from its JSON lines."""
    lines = path.read_text(encoding='utf-8').splitlines()
    return tuple(decode_event(line) for line in lines)


def _decode(document: dict[str, Any]) -> Event:
    kind = _TYPES[document.pop(_TYPE)]
    known = {field.name for field in fields(kind)}
    unknown = document.keys() - known
    if unknown:
        raise KeyError(*sorted(unknown))
    event: Event = kind(
        **{name: _frozen(found) for name, found in document.items()}
    )
    return event


def _frozen(found: Any) -> Any:
    return tuple(found) if isinstance(found, list) else found
