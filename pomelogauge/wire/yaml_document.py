"""Parses YAML or JSON and keeps the line of each value."""

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
    """A parsed document and the lines of its values.

    Parameters
    ----------
    source
        File that it came from.
    root
        The document as plain Python values.
    lines
        Line of each value by its path, from one.

    """

    source: str
    root: object
    lines: Mapping[DocumentPath, int]

    def finding(self, fault: DocumentFault) -> Finding:
        """Return a fault with its place in the file."""
        path = '/'.join(map(str, fault.path))
        place = SourceLocation(self.source, self._line(fault.path), path)
        return Finding(place, fault.message)

    def _line(self, path: DocumentPath) -> int:
        # A value that came through an alias has the line of its parent.
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
        Name of the file, for findings.
    body
        YAML 1.2, of which JSON is a part.

    Returns
    -------
    Result
        The document, or the finding that it can't be parsed.

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
    # An alias leads to a node that was visited, perhaps to a parent.
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
            # A key stands at its value's place; an operator looks for it.
            yield inner, key.start_mark.line + 1


def _marked_finding(source: str, exc: MarkedYAMLError) -> Finding:
    line = exc.problem_mark.line + 1 if exc.problem_mark else 0
    return Finding(
        SourceLocation(source, line), exc.problem or _first_line(exc)
    )


def _first_line(exc: Exception) -> str:
    return (str(exc).strip() or type(exc).__name__).splitlines()[0]
