"""Reads and checks an operator's manifest file."""

from pathlib import Path

from returns.pipeline import is_successful

from ..decide.manifest_check import check_manifest
from ..model.errors import Finding, FindingsError, SourceLocation
from ..model.manifest import Manifest
from ..wire.manifest_document import decode_manifest


def read_manifest(file_name: str) -> Manifest:
    """Read a manifest and check it whole.

    Raises
    ------
    FindingsError
        Every finding with its line.

    """
    decoded = decode_manifest(file_name, _read(file_name))
    if not is_successful(decoded):
        raise FindingsError(decoded.failure())
    found = decoded.unwrap()
    faults = check_manifest(found.manifest)
    findings = [found.document.finding(fault) for fault in faults]
    if findings:
        raise FindingsError(sorted(findings, key=_line))
    return found.manifest


def _read(file_name: str) -> bytes:
    try:
        return Path(file_name).read_bytes()
    except OSError as exc:
        finding = Finding(
            SourceLocation(file_name), exc.strerror or 'unreadable'
        )
        raise FindingsError([finding]) from exc


def _line(finding: Finding) -> int:
    return finding.location.line
