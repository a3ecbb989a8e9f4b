"""Faults inside a parsed document, and their paths."""

from dataclasses import dataclass

PathPart = str | int
DocumentPath = tuple[PathPart, ...]


@dataclass(frozen=True)
class DocumentFault:
    """One fault of a document, before its line is known.

    Parameters
    ----------
    path
        Keys and indexes from the root of the document to the faulty value.
    message
        What is wrong with that value.

    """

    path: DocumentPath
    message: str
