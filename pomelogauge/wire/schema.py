"""Validates decoded documents against the JSON schemas."""

import json
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache
from importlib.resources import files

from jsonschema import Draft202012Validator

SCHEMA_FILE = 'manifest.schema.json'

PathPart = str | int


@dataclass(frozen=True)
class Violation:
    """One rule of a schema that a document breaks.

    Parameters
    ----------
    path
        Keys and indexes from the root of the document.
    message
        What is wrong there.

    """

    path: tuple[PathPart, ...]
    message: str


def manifest_violations(document: object) -> Iterator[Violation]:
    """Yield every violation of the manifest's schema."""
    return _violations(_manifest_validator(), document)


def configuration_violations(document: object) -> Iterator[Violation]:
    """Yield every violation of the schema of a published configuration."""
    return _violations(_configuration_validator(), document)


def manifest_schema() -> Mapping[str, object]:
    """Return the manifest's schema."""
    text = files('pomelogauge.wire').joinpath(SCHEMA_FILE).read_text('utf-8')
    schema: Mapping[str, object] = json.loads(text)
    return schema


def _violations(
    validator: Draft202012Validator,
    document: object,
) -> Iterator[Violation]:
    for error in validator.iter_errors(document):
        yield Violation(tuple(error.absolute_path), error.message)


@lru_cache(maxsize=1)
def _manifest_validator() -> Draft202012Validator:
    return Draft202012Validator(manifest_schema())


@lru_cache(maxsize=1)
def _configuration_validator() -> Draft202012Validator:
    return Draft202012Validator(
        {
            'type': 'object',
            'required': ['version', 'manifest', 'drained', 'publisher'],
            'additionalProperties': False,
            'properties': {
                'version': {'type': 'integer', 'minimum': 0},
                'manifest': manifest_schema(),
                'drained': {'type': 'array', 'items': {'type': 'string'}},
                'publisher': {'type': 'string'},
            },
        }
    )
