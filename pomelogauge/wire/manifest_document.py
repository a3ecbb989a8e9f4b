"""Decodes the manifests that operators publish."""

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
    """A manifest and its document, which locates findings of later checks."""

    manifest: Manifest
    document: LocatedDocument


DecodedManifest = Result[ManifestDocument, tuple[Finding, ...]]


def decode_manifest(source: str, body: bytes) -> DecodedManifest:
    """Parse a manifest and check it against its schema.

    Parameters
    ----------
    source
        Name of the file, shown in findings.
    body
        The manifest as YAML or JSON.

    Returns
    -------
    Result
        The manifest and its document, or all findings in order of lines.

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
