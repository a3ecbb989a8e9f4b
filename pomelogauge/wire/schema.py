"""Validates decoded documents against JSON schemas."""

import json
from collections.abc import Iterator, Mapping
from functools import lru_cache
from importlib.resources import files

from jsonschema import Draft202012Validator

from ..model.document import DocumentFault

SCHEMA_FILE = 'manifest.schema.json'

#: Longest message of a violation, in characters; the rest is cut off.
_MAX_MESSAGE_LENGTH = 200


def manifest_faults(document: object) -> Iterator[DocumentFault]:
    """Yield all violations of the manifest's schema."""
    return _faults(_manifest_validator(), document)


def configuration_faults(document: object) -> Iterator[DocumentFault]:
    """Yield all violations of the schema of published configurations."""
    return _faults(_configuration_validator(), document)


def manifest_schema() -> Mapping[str, object]:
    """Return the manifest's schema from the package's data."""
    text = files('pomelogauge.wire').joinpath(SCHEMA_FILE).read_text('utf-8')
    schema: Mapping[str, object] = json.loads(text)
    return schema


def _faults(
    validator: Draft202012Validator,
    document: object,
) -> Iterator[DocumentFault]:
    for error in validator.iter_errors(document):
        # The library quotes the value, which may be an entire document.
        message = error.message[:_MAX_MESSAGE_LENGTH]
        yield DocumentFault(tuple(error.absolute_path), message)


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
                'drained': _NAMES,
                'preparing': _NAMES,
                'publisher': {'type': 'string'},
            },
        }
    )


_NAMES = {'type': 'array', 'items': {'type': 'string'}}
