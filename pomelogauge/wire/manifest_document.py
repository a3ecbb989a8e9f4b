"""Decodes the manifest that operators publish."""

from dataclasses import dataclass
from typing import Any, cast

from returns.result import Failure, Result, Success

from ..model.errors import Finding
from ..model.manifest import Manifest
from .manifest_records import build_manifest
from .schema import manifest_faults
from .yaml_document import LocatedDocument, parse_document


@dataclass(frozen=True)
class ManifestDocument:
    """A manifest and the document that it was decoded from."""

    manifest: Manifest
    document: LocatedDocument


DecodedManifest = Result[ManifestDocument, tuple[Finding, ...]]


def decode_manifest(source: str, body: bytes) -> DecodedManifest:
    """Decode a manifest.

    Parameters
    ----------
    source
        Name of the file, for findings.
    body
        YAML or JSON.

    Returns
    -------
    Result
        The manifest and its document, or every finding in order of lines.

    """
    return parse_document(source, body).bind(_decode)


def _decode(document: LocatedDocument) -> DecodedManifest:
    findings = tuple(map(document.finding, manifest_faults(document.root)))
    if findings:
        return Failure(tuple(sorted(findings, key=_line)))
    root = cast(dict[str, Any], document.root)
    return Success(ManifestDocument(build_manifest(root), document))


def _line(finding: Finding) -> int:
    return finding.location.line
