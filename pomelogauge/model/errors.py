"""Findings with their place, and the errors that the user sees."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class SourceLocation:
    """Where a finding was made.

    Parameters
    ----------
    source
        File, flag, environment variable or table row.
    line
        Line number from one; zero when unknown.
    path
        Path inside the document, such as ``deployments/0/span``.

    """

    source: str
    line: int = 0
    path: str = ''

    def __str__(self) -> str:
        """Render as ``source:line path``."""
        position = f'{self.source}:{self.line}' if self.line else self.source
        return f'{position} {self.path}'.rstrip()


@dataclass(frozen=True)
class Finding:
    """One fault of an input and its place."""

    location: SourceLocation
    message: str

    def __str__(self) -> str:
        """Render as ``location: message``."""
        return f'{self.location}: {self.message}'


class UserError(Exception):
    """An error that the user can mend; the interface prints one line."""

    exit_code = 1


class FindingsError(UserError):
    """Findings of one check, reported together.

    Parameters
    ----------
    findings
        All findings, in the order of their places.

    """

    exit_code = 2

    def __init__(self, findings: Iterable[Finding]) -> None:
        """Keep the findings for the interface."""
        self.findings = tuple(findings)
        super().__init__('\n'.join(str(finding) for finding in self.findings))
