"""Typed fields of the platform's documents, with findings and their place."""

import json
from collections.abc import Iterator
from typing import Any, TypeVar

from ..model.errors import Finding, FindingsError, SourceLocation

MemberT = TypeVar('MemberT', str, int)


class Fields:
    """One JSON object whose faults are collected.

    Parameters
    ----------
    source
        Row or file that holds the object.
    members
        The decoded object; anything else is one finding.
    path
        Place of the object inside the document.
    findings
        Shared by all objects of one document.

    """

    def __init__(
        self,
        source: str,
        members: Any,
        path: str = '',
        findings: list[Finding] | None = None,
    ) -> None:
        """Take the object."""
        self._source = source
        self._path = path
        self.findings = [] if findings is None else findings
        self._members = members if isinstance(members, dict) else {}
        if not isinstance(members, dict):
            self._find('', 'is not an object')

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text; a finding and an empty text where it is none."""
        found = self._members.get(name, default)
        if isinstance(found, str):
            return found
        self._find(name, 'is not a text')
        return default or ''

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number that is not negative."""
        found = self._members.get(name, default)
        if _is_number(found):
            return float(found or 0)
        self._find(name, 'is not a number of zero or more')
        return float(default or 0)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a whole number that is not negative."""
        found = self.number(name, default)
        if found.is_integer():
            return int(found)
        self._find(name, 'is not a whole number')
        return default or 0

    def flag(self, name: str, default: bool = False) -> bool:
        """Return true or false."""
        found = self._members.get(name, default)
        if isinstance(found, bool):
            return found
        self._find(name, 'is neither true nor false')
        return default

    def list_of(self, name: str, kind: type[MemberT]) -> tuple[MemberT, ...]:
        """Return a list of texts or of whole numbers; absent is empty."""
        found = self._list(name)
        if all(_is_one(one, kind) for one in found):
            return tuple(found)
        self._find(name, f'is not a list of {kind.__name__}')
        return ()

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._members.get(name) is not None

    def is_number(self, name: str) -> bool:
        """Return whether a field holds a number."""
        return _is_number(self._members.get(name))

    def nested(self, name: str) -> 'Fields':
        """Return an object inside; an absent one is a finding."""
        return self._enter(name, self._members.get(name))

    def objects(self, name: str) -> Iterator['Fields']:
        """Yield the objects of a list; an absent list is empty."""
        for index, one in enumerate(self._list(name)):
            yield self._enter(f'{name}/{index}', one)

    def add_finding(self, name: str, message: str) -> None:
        """Add a finding."""
        self._find(name, message)

    def check(self) -> None:
        """Raise what was found.

        Raises
        ------
        FindingsError
            The document has faults.

        """
        if self.findings:
            raise FindingsError(self.findings)

    def _list(self, name: str) -> list[Any]:
        found = self._members.get(name)
        if found is None:
            return []
        if isinstance(found, list):
            return found
        self._find(name, 'is not a list')
        return []

    def _enter(self, name: str, members: Any) -> 'Fields':
        return Fields(self._source, members, self._at(name), self.findings)

    def _at(self, name: str) -> str:
        return f'{self._path}/{name}'.strip('/')

    def _find(self, name: str, message: str) -> None:
        place = SourceLocation(self._source, path=self._at(name))
        self.findings.append(Finding(place, message))


def read_fields(source: str, text: str | bytes) -> Fields:
    """Parse a document.

    Raises
    ------
    FindingsError
        The text is no JSON.

    """
    try:
        return Fields(source, json.loads(text))
    except (ValueError, RecursionError) as exc:
        raise FindingsError(
            [Finding(SourceLocation(source), str(exc))]
        ) from exc


def _is_number(found: Any) -> bool:
    if isinstance(found, bool) or not isinstance(found, int | float):
        return False
    return 0 <= found < float('inf')


def _is_one(found: Any, kind: type) -> bool:
    return isinstance(found, kind) and not isinstance(found, bool)
