"""Encodes the row that names the newest configuration."""

import json
from dataclasses import asdict, dataclass

from returns.result import Failure, Result, Success

from ..model.ids import ConfigVersion


@dataclass(frozen=True)
class ConfigurationRow:
    """Row ``configuration/current``.

    Parameters
    ----------
    version
        Version of the configuration.
    object_name
        Object that holds the document.
    publisher
        Who published it.

    """

    version: ConfigVersion
    object_name: str
    publisher: str


def encode_configuration_row(row: ConfigurationRow) -> str:
    """Return the row's text."""
    return json.dumps(asdict(row), separators=(',', ':'))


def decode_configuration_row(text: str) -> Result[ConfigurationRow, str]:
    """Decode the row's text; a failure says what is wrong."""
    try:
        fields = json.loads(text)
        row = ConfigurationRow(
            version=ConfigVersion(int(fields['version'])),
            object_name=str(fields['object_name']),
            publisher=str(fields['publisher']),
        )
    except (ValueError, LookupError, TypeError) as exc:
        return Failure(f'configuration row: {type(exc).__name__}: {exc}')
    return Success(row)
