"""JSON encoding of the row that names the newest configuration."""

import json
from dataclasses import asdict, dataclass

from returns.result import Failure, Result, Success

from ..model.ids import ConfigVersion


@dataclass(frozen=True)
class ConfigurationRow:
    """Value of the row ``configuration/current``.

    Parameters
    ----------
    version
        Version of the newest configuration.
    object_name
        Name of the object in the object store that holds its document.
    publisher
        Name of the operator who published it.

    """

    version: ConfigVersion
    object_name: str
    publisher: str


def encode_configuration_row(row: ConfigurationRow) -> str:
    """Encode the row's value as compact JSON."""
    return json.dumps(asdict(row), separators=(',', ':'))


def decode_configuration_row(text: str) -> Result[ConfigurationRow, str]:
    """Decode the row's value; a failure names the exception and its text."""
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
