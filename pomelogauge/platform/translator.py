"""Implements the codec protocols of the entry instance for the platform."""

from collections.abc import Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from ..entry.ownership import OwnerLease
from ..model.entry_request import (
    CallerRequest,
    Headers,
    TargetAnswer,
    TargetRequest,
)
from ..model.errors import Finding, FindingsError, SourceLocation
from ..model.fleet import GroupRecord, Target
from ..model.ids import DataCentreName, PromptPart
from ..model.serving import ServingConfig
from ..model.store_version import StoreVersion
from ..wire.caller_connection import RequestRead
from ..wire.target_link import HeadRead, RequestHead
from . import requests, rows
from .configuration import decode_configuration
from .targets import decode_target

RecordT = TypeVar('RecordT')

_CONFIGURATION_KEY = 'config'
_DRAINED_PREFIX = 'evacuate/'


class RowTranslator:
    """Translates the platform's rows and the rows of this system.

    Decoding raises nothing: a malformed row is returned as a failure with all
    findings.
    """

    def target(
        self,
        key: str,
        body: bytes,
        version: StoreVersion,
        now_s: float,
    ) -> Result[Target, FindingsError]:
        """Decode the row of a target; ``now_s`` is of the local clock."""
        return _as_result(lambda: decode_target(key, body, version, now_s))

    def configuration(
        self,
        body: bytes,
    ) -> Result[ServingConfig, FindingsError]:
        """Decode the operators' configuration document."""
        return _as_result(lambda: decode_configuration(body))

    def is_configuration(self, key: str) -> bool:
        """Return whether a key of the operators' table is the configuration."""
        return key == _CONFIGURATION_KEY

    def drained_data_centre(self, key: str) -> DataCentreName | None:
        """Return the data centre that a row of the operators' table drains.

        ``None`` for all other rows.
        """
        if key.startswith(_DRAINED_PREFIX):
            return DataCentreName(key.removeprefix(_DRAINED_PREFIX))
        return None

    def encode_group(self, record: GroupRecord) -> bytes:
        """Encode the record of a group."""
        return rows.encode_group(record)

    def group(
        self,
        key: str,
        body: bytes,
        version: StoreVersion,
    ) -> Result[GroupRecord, FindingsError]:
        """Decode the record of a group."""
        return _as_result(lambda: rows.decode_group(key, body, version))

    def encode_owner_lease(self, owner_lease: OwnerLease) -> bytes:
        """Encode the lease on ownership of all groups."""
        return rows.encode_owner_lease(owner_lease)

    def owner_lease(
        self,
        key: str,
        body: bytes,
        version: StoreVersion,
    ) -> Result[OwnerLease, FindingsError]:
        """Decode the lease on ownership of all groups."""
        return _as_result(lambda: rows.decode_owner_lease(key, body, version))

    def encode_quarantine(self, parts: frozenset[PromptPart]) -> bytes:
        """Encode the quarantined parts of prompts."""
        return rows.encode_quarantine(parts)

    def quarantine(
        self, key: str, body: bytes
    ) -> Result[frozenset[PromptPart], FindingsError]:
        """Decode the quarantined parts of prompts."""
        return _as_result(lambda: rows.decode_quarantine(key, body))


class RequestTranslator:
    """Translates requests of callers and answers of targets."""

    def decode_request(
        self,
        read: RequestRead,
        now_s: float,
    ) -> Result[CallerRequest, FindingsError]:
        """Decode a caller's request; a failure holds all findings."""
        return _as_result(lambda: requests.decode_request(read, now_s))

    def encode_request(self, sent: TargetRequest) -> RequestHead:
        """Encode the head of the request that is sent to a target."""
        return requests.encode_request(sent)

    def decode_answer(self, head: HeadRead) -> TargetAnswer:
        """Decode the head of a target's answer."""
        return requests.decode_answer(head)

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers of a response that this system generates.

        Zero seconds send no ``Retry-After``.
        """
        return requests.refusal_headers(retry_after_s)

    def refusal_body(self, message: str) -> bytes:
        """Return the JSON body of a response that this system generates."""
        return requests.refusal_body(message)


def _as_result(decode: Callable[[], RecordT]) -> Result[RecordT, FindingsError]:
    try:
        return Success(decode())
    except FindingsError as exc:
        return Failure(exc)
    except (ValueError, OverflowError) as exc:
        return Failure(
            FindingsError([Finding(SourceLocation('row'), str(exc))])
        )
