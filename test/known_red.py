"""Tests in ``KNOWN-RED.txt``, which fail for a known fault."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE = Path('KNOWN-RED.txt')
_FIELDS = 4


@dataclass(frozen=True)
class KnownRed:
    """One entry of the file."""

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        """Render as one line."""
        return f'{self.test}: {self.seen} ({self.command})'


def read_known_red(path: Path = FILE) -> tuple[KnownRed, ...]:
    """Return all entries; a malformed line raises ``ValueError``."""
    if not path.exists():
        return ()
    lines = path.read_text(encoding='utf-8').splitlines()
    return tuple(
        _entry(line) for line in lines if line and not line.startswith('#')
    )


def unexpected(
    failed: Iterable[str],
    known: Iterable[KnownRed],
) -> tuple[str, ...]:
    """Return the failed tests that are not known to fail."""
    names = {entry.test for entry in known}
    return tuple(test for test in failed if test not in names)


def _entry(line: str) -> KnownRed:
    fields = tuple(field.strip() for field in line.split('|'))
    if len(fields) != _FIELDS or not all(fields):
        raise ValueError(f'{FILE}: {line!r} does not have {_FIELDS} fields')
    return KnownRed(*fields)
