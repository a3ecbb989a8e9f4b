"""Typed access to JSON documents that collects all findings."""

import json
import sys
from collections.abc import Iterator
from typing import Any, TypeVar

from ..model.errors import Finding, FindingsError, SourceLocation

MemberT = TypeVar('MemberT', str, int)


class Fields:
    """One JSON object of a document.

    A missing or malformed field adds a finding and yields the default or an
    empty value instead of raising, so that one pass over the document reports
    all faults. ``check`` raises them.

    Parameters
    ----------
    source
        Row or file that holds the document, for the findings.
    members
        The decoded object; a value of any other type adds a finding and is
        read as an empty object.
    path
        Path of the object inside the document; empty for the outermost one.
    findings
        List to which findings are added, shared by all objects of a
        document; ``None`` for the outermost one.

    """

    def __init__(
        self,
        source: str,
        members: Any,
        path: str = '',
        findings: list[Finding] | None = None,
    ) -> None:
        """Check that the value is an object."""
        self._source = source
        self._path = path
        self.findings = [] if findings is None else findings
        self._members = members if isinstance(members, dict) else {}
        if not isinstance(members, dict):
            self._record(
                '', f'expected an object, got {type(members).__name__}'
            )

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string; after a finding the default or an empty one."""
        value = self._members.get(name, default)
        if isinstance(value, str):
            return value
        self._record(name, f'expected a string, got {type(value).__name__}')
        return default or ''

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number of zero or more.

        After a finding the default or zero is returned.
        """
        value = self._members.get(name, default)
        if _is_number(value):
            return float(value or 0)
        self._record(
            name,
            f'got type {type(value).__name__}, '
            'expected a finite number of zero or more',
        )
        return float(default or 0)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer of zero or more; ``2.0`` is accepted too.

        After a finding the default or zero is returned.
        """
        value = self.number(name, default)
        if value.is_integer():
            return int(value)
        self._record(name, f'expected an integer, got {value}')
        return default or 0

    def flag(self, name: str, default: bool = False) -> bool:
        """Return a boolean; after a finding the default."""
        value = self._members.get(name, default)
        if isinstance(value, bool):
            return value
        self._record(name, f'expected a boolean, got {type(value).__name__}')
        return default

    def list_of(self, name: str, kind: type[MemberT]) -> tuple[MemberT, ...]:
        """Return a list of strings or of integers.

        The list is empty when the field is absent and after a finding.
        """
        values = self._list(name)
        if all(_is_instance(value, kind) for value in values):
            return tuple(values)
        self._record(name, f'expected a list of {kind.__name__} only')
        return ()

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._members.get(name) is not None

    def is_number(self, name: str) -> bool:
        """Return whether a field holds a finite number of zero or more."""
        return _is_number(self._members.get(name))

    def nested(self, name: str) -> 'Fields':
        """Return a nested object; an absent one adds a finding."""
        return self._enter(name, self._members.get(name))

    def objects(self, name: str) -> Iterator['Fields']:
        """Yield the objects of a list; none when the list is absent."""
        for index, members in enumerate(self._list(name)):
            yield self._enter(f'{name}/{index}', members)

    def add_finding(self, name: str, message: str) -> None:
        """Add a finding about the value of a field."""
        self._record(name, message)

    def check(self) -> None:
        """Raise the findings of the whole document, if there are any.

        Raises
        ------
        FindingsError
            The document has faults; all findings together.

        """
        if self.findings:
            raise FindingsError(self.findings)

    def _list(self, name: str) -> list[Any]:
        value = self._members.get(name)
        if value is None:
            return []
        if isinstance(value, list):
            return value
        self._record(name, f'expected a list, got {type(value).__name__}')
        return []

    def _enter(self, name: str, members: Any) -> 'Fields':
        return Fields(self._source, members, self._path_of(name), self.findings)

    def _path_of(self, name: str) -> str:
        return f'{self._path}/{name}'.strip('/')

    def _record(self, name: str, message: str) -> None:
        location = SourceLocation(self._source, path=self._path_of(name))
        self.findings.append(Finding(location, message))


def read_fields(source: str, text: str | bytes) -> Fields:
    """Parse a document.

    Parameters
    ----------
    source
        Row or file that holds the document, for the findings.
    text
        The document as JSON; bytes are decoded as UTF-8, UTF-16 or UTF-32.

    Raises
    ------
    FindingsError
        The text is not JSON or is nested too deeply.

    """
    try:
        return Fields(source, json.loads(text))
    except (ValueError, RecursionError) as exc:
        raise FindingsError(
            [Finding(SourceLocation(source), str(exc))]
        ) from exc


def _is_number(value: Any) -> bool:
    # bool is a subclass of int in Python, but not a number in JSON.
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    # An integer may be beyond the range of a float.
    return 0 <= value <= sys.float_info.max


def _is_instance(value: Any, kind: type) -> bool:
    return isinstance(value, kind) and not isinstance(value, bool)
