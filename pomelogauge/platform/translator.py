"""The adapter's codecs as the tasks of an entry instance use them."""

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
from ..model.ids import DataCentreName, RowVersion
from ..model.serving import ServingConfig
from ..wire.caller_connection import RequestRead
from ..wire.target_link import HeadRead, RequestHead
from . import requests, rows
from .configuration import decode_configuration
from .targets import decode_target

RecordT = TypeVar('RecordT')

_CONFIGURATION = 'config'
_DRAINED = 'evacuate/'


class RowTranslator:
    """Rows of the platform and of the project."""

    def target(
        self,
        key: str,
        body: bytes,
        version: RowVersion,
        now_s: float,
    ) -> Result[Target, FindingsError]:
        """Decode a target's entry."""
        return _tried(lambda: decode_target(key, body, version, now_s))

    def configuration(
        self,
        body: bytes,
    ) -> Result[ServingConfig, FindingsError]:
        """Decode the operators' configuration."""
        return _tried(lambda: decode_configuration(body))

    def is_configuration(self, key: str) -> bool:
        """Return whether a row is the configuration."""
        return key == _CONFIGURATION

    def drained_data_centre(self, key: str) -> DataCentreName | None:
        """Return the data centre that a row takes out of service."""
        if key.startswith(_DRAINED):
            return DataCentreName(key.removeprefix(_DRAINED))
        return None

    def encode_group(self, record: GroupRecord) -> bytes:
        """Encode a group."""
        return rows.encode_group(record)

    def group(
        self,
        key: str,
        body: bytes,
        version: RowVersion,
    ) -> Result[GroupRecord, FindingsError]:
        """Decode a group."""
        return _tried(lambda: rows.decode_group(key, body, version))

    def encode_owner_lease(self, owner_lease: OwnerLease) -> bytes:
        """Encode who owns the groups."""
        return rows.encode_owner_lease(owner_lease)

    def owner_lease(
        self,
        key: str,
        body: bytes,
        version: RowVersion,
    ) -> Result[OwnerLease, FindingsError]:
        """Decode who owns the groups."""
        return _tried(lambda: rows.decode_owner_lease(key, body, version))


class RequestTranslator:
    """Requests of callers and answers of targets."""

    def decode_request(
        self,
        read: RequestRead,
        now_s: float,
    ) -> Result[CallerRequest, FindingsError]:
        """Decode a caller's request."""
        return _tried(lambda: requests.decode_request(read, now_s))

    def encode_request(self, sent: TargetRequest) -> RequestHead:
        """Encode what a target is sent."""
        return requests.encode_request(sent)

    def decode_answer(self, head: HeadRead) -> TargetAnswer:
        """Decode the head of a target's answer."""
        return requests.decode_answer(head)

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers of an own answer."""
        return requests.refusal_headers(retry_after_s)

    def refusal_body(self, message: str) -> bytes:
        """Return the body of an own answer."""
        return requests.refusal_body(message)


def _tried(decode: Callable[[], RecordT]) -> Result[RecordT, FindingsError]:
    try:
        return Success(decode())
    except FindingsError as exc:
        return Failure(exc)
    except (ValueError, OverflowError) as exc:
        return Failure(
            FindingsError([Finding(SourceLocation('row'), str(exc))])
        )
