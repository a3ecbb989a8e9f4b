"""Decoding and encoding that the adapter of the platform provides."""

from typing import Protocol

from returns.result import Result

from ..model.entry_request import (
    CallerRequest,
    Headers,
    TargetAnswer,
    TargetRequest,
)
from ..model.errors import FindingsError
from ..model.fleet import EntryInstance, GroupRecord, Target
from ..model.ids import DataCentreName, RowVersion
from ..model.serving import ServingConfig
from ..wire.caller_connection import RequestRead
from ..wire.target_link import HeadRead, RequestHead
from .ownership import OwnerLease


class TargetRows(Protocol):
    """Decodes the platform's own rows."""

    def target(
        self,
        key: str,
        body: bytes,
        version: RowVersion,
        now_s: float,
    ) -> Result[Target, FindingsError]:
        """Decode a target's entry."""

    def configuration(
        self,
        body: bytes,
    ) -> Result[ServingConfig, FindingsError]:
        """Decode the operators' configuration."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a row is the configuration."""

    def drained_data_centre(self, key: str) -> DataCentreName | None:
        """Return the data centre that a row takes out of service."""


class OwnRows(Protocol):
    """Encodes and decodes the project's own rows."""

    def encode_group(self, record: GroupRecord) -> bytes:
        """Encode a group."""

    def group(
        self,
        key: str,
        body: bytes,
        version: RowVersion,
    ) -> Result[GroupRecord, FindingsError]:
        """Decode a group."""

    def encode_owner_lease(self, owner_lease: OwnerLease) -> bytes:
        """Encode who owns the groups."""

    def owner_lease(
        self,
        key: str,
        body: bytes,
        version: RowVersion,
    ) -> Result[OwnerLease, FindingsError]:
        """Decode who owns the groups."""


class RequestCodec(Protocol):
    """Translates requests and answers."""

    def decode_request(
        self,
        read: RequestRead,
        now_s: float,
    ) -> Result[CallerRequest, FindingsError]:
        """Decode a caller's request."""

    def encode_request(self, sent: TargetRequest) -> RequestHead:
        """Encode what a target is sent."""

    def decode_answer(self, head: HeadRead) -> TargetAnswer:
        """Decode the head of a target's answer."""

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers of an own answer."""

    def refusal_body(self, message: str) -> bytes:
        """Return the body of an own answer."""


class PageCodec(Protocol):
    """Translates questions where to connect."""

    def is_directory_request(self, target: bytes) -> bool:
        """Return whether a request asks where to connect."""

    def encode_directory(
        self,
        instances: tuple[EntryInstance, ...],
        ttl_s: float,
    ) -> bytes:
        """Encode the answer."""
