"""Findings with their source location, and errors shown to the user."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class SourceLocation:
    """Position of a finding in an input.

    Parameters
    ----------
    source
        File, flag, environment variable or table row.
    line
        Line number from one; zero if unknown.
    path
        Path inside the document, such as ``deployments/0/span``; empty for
        the whole input.

    """

    source: str
    line: int = 0
    path: str = ''

    def __str__(self) -> str:
        """Return ``source:line path`` without the parts that are unknown."""
        position = f'{self.source}:{self.line}' if self.line else self.source
        return f'{position} {self.path}'.rstrip()


@dataclass(frozen=True)
class Finding:
    """One fault of an input, with its location."""

    location: SourceLocation
    message: str

    def __str__(self) -> str:
        """Return ``location: message``."""
        return f'{self.location}: {self.message}'


class UserError(Exception):
    """An error that the user can fix; the command prints its message only.

    ``exit_code`` is the exit status of the command.
    """

    exit_code = 1


class FindingsError(UserError):
    """All findings of one check, reported together.

    Parameters
    ----------
    findings
        Findings, in the order in which they are shown.

    """

    exit_code = 2

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Build the message with one line per finding."""
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(finding) for finding in self.findings))
