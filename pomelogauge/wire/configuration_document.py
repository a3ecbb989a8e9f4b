"""Encodes configurations for the object store and for peers."""

import json
from dataclasses import asdict
from typing import Any

from returns.result import Failure, Result, Success

from ..model.document import DocumentFault
from ..model.errors import Finding, SourceLocation
from ..model.ids import ConfigVersion, DataCentreName
from ..model.manifest import Configuration
from .manifest_records import build_manifest
from .schema import configuration_faults

SOURCE = 'configuration'

DecodedConfiguration = Result[Configuration, tuple[Finding, ...]]


def encode_configuration(configuration: Configuration) -> bytes:
    """Return a configuration as compact JSON."""
    text = json.dumps(asdict(configuration), separators=(',', ':'))
    return text.encode()


def decode_configuration(body: bytes) -> DecodedConfiguration:
    """Decode what ``encode_configuration`` returned.

    Parameters
    ----------
    body
        The encoded configuration.

    Returns
    -------
    Result
        The configuration, or every finding.

    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as exc:
        return Failure((Finding(SourceLocation(SOURCE), f'no JSON: {exc}'),))
    findings = tuple(map(_finding, configuration_faults(document)))
    if findings:
        return Failure(findings)
    return Success(_configuration(document))


def _configuration(document: dict[str, Any]) -> Configuration:
    return Configuration(
        version=ConfigVersion(int(document['version'])),
        manifest=build_manifest(document['manifest']),
        drained=tuple(map(DataCentreName, document['drained'])),
        publisher=document['publisher'],
        # Documents of earlier releases name none.
        preparing=tuple(map(DataCentreName, document.get('preparing', ()))),
    )


def _finding(fault: DocumentFault) -> Finding:
    path = '/'.join(map(str, fault.path))
    return Finding(SourceLocation(SOURCE, path=path), fault.message)
