"""Paths inside a document and what is wrong there."""

from dataclasses import dataclass

PathPart = str | int
DocumentPath = tuple[PathPart, ...]


@dataclass(frozen=True)
class DocumentFault:
    """One fault of a document.

    Parameters
    ----------
    path
        Keys and indexes from the root of the document.
    message
        What is wrong there.

    """

    path: DocumentPath
    message: str
