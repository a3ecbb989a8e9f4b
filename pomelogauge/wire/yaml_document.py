"""Parses YAML or JSON documents and records the line of each value."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, SequenceNode

from ..model.document import DocumentFault, DocumentPath
from ..model.errors import Finding, SourceLocation


@dataclass(frozen=True)
class LocatedDocument:
    """A parsed document with the line numbers of its values.

    Parameters
    ----------
    source
        Name of the file, shown in findings.
    root
        The document as plain Python values.
    lines
        Line of each value by its path; the first line is one.

    """

    source: str
    root: object
    lines: Mapping[DocumentPath, int]

    def finding(self, fault: DocumentFault) -> Finding:
        """Return a fault as a finding that names file, line and path."""
        path = '/'.join(map(str, fault.path))
        place = SourceLocation(self.source, self._line(fault.path), path)
        return Finding(place, fault.message)

    def _line(self, path: DocumentPath) -> int:
        # A value behind a YAML alias has no line of its own; its nearest
        # parent with a line stands in.
        for length in range(len(path), -1, -1):
            line = self.lines.get(path[:length])
            if line:
                return line
        return 0


ParsedDocument = Result[LocatedDocument, tuple[Finding, ...]]


def parse_document(source: str, body: bytes) -> ParsedDocument:
    """Parse a document.

    Parameters
    ----------
    source
        Name of the file, shown in findings.
    body
        YAML 1.2, of which JSON is a subset.

    Returns
    -------
    Result
        The document, or the one finding that it can't be parsed.

    """
    try:
        return Success(_parse(source, body.decode()))
    except MarkedYAMLError as exc:
        return Failure((_marked_finding(source, exc),))
    except (YAMLError, ValueError, RecursionError) as exc:
        return Failure((Finding(SourceLocation(source), _first_line(exc)),))


def _parse(source: str, text: str) -> LocatedDocument:
    reader = YAML(typ='safe', pure=True)
    root = reader.load(text)
    node = YAML(typ='safe', pure=True).compose(text)
    lines = dict(_lines((), node, set())) if node else {}
    return LocatedDocument(source, root, lines)


def _lines(
    path: DocumentPath,
    node: Node,
    seen: set[int],
) -> Iterator[tuple[DocumentPath, int]]:
    yield path, node.start_mark.line + 1
    # An alias leads to a node that was visited before; it may be a parent, so
    # that going on would not end.
    if id(node) in seen:
        return
    seen.add(id(node))
    if isinstance(node, SequenceNode):
        for index, element in enumerate(node.value):
            yield from _lines((*path, index), element, seen)
    elif isinstance(node, MappingNode):
        for key, element in node.value:
            inner = (*path, str(key.value))
            yield from _lines(inner, element, seen)
            # Findings on a value show the line of its key, which is the line
            # that an operator looks for.
            yield inner, key.start_mark.line + 1


def _marked_finding(source: str, exc: MarkedYAMLError) -> Finding:
    line = exc.problem_mark.line + 1 if exc.problem_mark else 0
    return Finding(
        SourceLocation(source, line), exc.problem or _first_line(exc)
    )


def _first_line(exc: Exception) -> str:
    return (str(exc).strip() or type(exc).__name__).splitlines()[0]
