"""Reads feature files into plans, with all findings together."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from gherkin.errors import CompositeParserException, ParserError
from gherkin.parser import Parser
from gherkin.pickles.compiler import Compiler

from ..model.errors import Finding, FindingsError, SourceLocation
from .steps import StepCall, Table, Vocabulary

SUFFIX = '.feature'
_TABLE_COLUMNS = 2


@dataclass(frozen=True)
class PlannedStep:
    """A step whose function is known.

    Parameters
    ----------
    text
        As written, without the keyword.
    line
        Line in the file.
    call
        Function and arguments.
    table
        Its data table; empty without one.

    """

    text: str
    line: int
    call: StepCall
    table: Table


@dataclass(frozen=True)
class ScenarioPlan:
    """A scenario that can run, its background's steps included."""

    path: Path
    name: str
    line: int
    steps: tuple[PlannedStep, ...]

    @property
    def slug(self) -> str:
        """Name for files and tests."""
        letters = (at if at.isalnum() else '-' for at in self.name.lower())
        return f'{self.path.parent.name}-{self.path.stem}-{"".join(letters)}'


def read_plans(
    paths: Iterable[Path],
    vocabulary: Vocabulary,
) -> tuple[ScenarioPlan, ...]:
    """Read files, and all feature files in folders.

    Raises
    ------
    FindingsError
        Every fault in every file: syntax, steps that are unknown or match
        twice, and tables that can't be read.

    """
    findings: list[Finding] = []
    plans: list[ScenarioPlan] = []
    for path in _files(paths):
        plans.extend(_plans_of(path, vocabulary, findings))
    if findings:
        raise FindingsError(findings)
    return tuple(plans)


def _files(paths: Iterable[Path]) -> Iterator[Path]:
    for path in paths:
        if path.is_dir():
            yield from sorted(path.rglob(f'*{SUFFIX}'))
        else:
            yield path


def _plans_of(
    path: Path,
    vocabulary: Vocabulary,
    findings: list[Finding],
) -> Iterator[ScenarioPlan]:
    document = _document(path, findings)
    if document is None:
        return
    reader = _StepReader(path, _lines(document), vocabulary, findings)
    found = False
    document['uri'] = str(path)
    for pickle in Compiler().compile(document):
        found = True
        line = pickle['location']['line']
        steps = tuple(reader.read(step) for step in pickle['steps'])
        known = tuple(step for step in steps if step is not None)
        yield ScenarioPlan(path, pickle['name'], line, known)
    if not found:
        findings.append(Finding(SourceLocation(str(path)), 'has no scenario'))


def _document(path: Path, findings: list[Finding]) -> Any:
    try:
        return Parser().parse(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError) as exc:
        findings.append(Finding(SourceLocation(str(path)), str(exc)))
    except CompositeParserException as exc:
        findings.extend(_syntax(path, error) for error in exc.errors)
    except ParserError as exc:
        findings.append(_syntax(path, exc))
    return None


def _syntax(path: Path, error: Any) -> Finding:
    _, _, message = str(error).partition(': ')
    return Finding(SourceLocation(str(path), error.location['line']), message)


def _lines(document: Any) -> Mapping[str, int]:
    """Return the line of every node that has an identifier."""
    found: dict[str, int] = {}
    waiting = [document]
    while waiting:
        node = waiting.pop()
        if isinstance(node, list):
            waiting.extend(node)
        elif isinstance(node, dict):
            waiting.extend(node.values())
            if 'id' in node and 'location' in node:
                found[node['id']] = node['location']['line']
    return found


class _StepReader:
    """Finds the functions of one file's steps; each fault counts once."""

    def __init__(
        self,
        path: Path,
        lines: Mapping[str, int],
        vocabulary: Vocabulary,
        findings: list[Finding],
    ) -> None:
        """Collect faults in ``findings``."""
        self._path = path
        self._lines = lines
        self._vocabulary = vocabulary
        self._findings = findings

    def read(self, step: Any) -> PlannedStep | None:
        """Return a step, or note what is wrong with it."""
        text = step['text']
        line = self._lines[step['astNodeIds'][0]]
        calls = self._vocabulary.calls(text)
        if len(calls) != 1:
            said = 'matches several steps' if calls else 'is no known step'
            self._note(line, f'{text!r} {said}')
            return None
        call = calls[0]
        return PlannedStep(text, line, call, self._table(step, line, call))

    def _table(self, step: Any, line: int, call: StepCall) -> Table:
        argument = step.get('argument') or {}
        check = call.definition.check_table
        if 'docString' in argument or (argument and check is None):
            self._note(line, 'the step takes no table or text')
            return {}
        rows = argument.get('dataTable', {}).get('rows', [])
        if any(len(row['cells']) != _TABLE_COLUMNS for row in rows):
            self._note(line, 'the table must have two columns')
            return {}
        table = {_cell(row, 0): _cell(row, 1) for row in rows}
        for fault in check(table) if check else ():
            self._note(line, fault)
        return table

    def _note(self, line: int, message: str) -> None:
        # The steps of a background come once for each scenario.
        finding = Finding(SourceLocation(str(self._path), line), message)
        if finding not in self._findings:
            self._findings.append(finding)


def _cell(row: Any, column: int) -> str:
    text: str = row['cells'][column]['value']
    return text
