"""Protocols for the encodings of the platform."""

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
from ..model.ids import DataCentreName, PromptPart
from ..model.serving import ServingConfig
from ..model.store_version import StoreVersion
from ..wire.caller_connection import RequestRead
from ..wire.target_link import HeadRead, RequestHead
from .ownership import OwnerLease


class TargetRows(Protocol):
    """Decodes rows that the platform and its operators write."""

    def target(
        self,
        key: str,
        body: bytes,
        version: StoreVersion,
        now_s: float,
    ) -> Result[Target, FindingsError]:
        """Decode the row by which a target lists itself.

        Parameters
        ----------
        key
            Name of the target.
        body
            Body of the row.
        version
            Row version.
        now_s
            Present time of the local clock, from which the target's times are
            converted.

        """

    def configuration(
        self,
        body: bytes,
    ) -> Result[ServingConfig, FindingsError]:
        """Decode the operators' configuration."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a row of the operator table has the configuration."""

    def drained_data_centre(self, key: str) -> DataCentreName | None:
        """Return the data centre that a row drains; ``None`` for other rows."""


class OwnRows(Protocol):
    """Encodes and decodes rows that entry instances write."""

    def encode_group(self, record: GroupRecord) -> bytes:
        """Encode the record of a group."""

    def group(
        self,
        key: str,
        body: bytes,
        version: StoreVersion,
    ) -> Result[GroupRecord, FindingsError]:
        """Decode the record of a group."""

    def encode_owner_lease(self, owner_lease: OwnerLease) -> bytes:
        """Encode the owner lease."""

    def owner_lease(
        self,
        key: str,
        body: bytes,
        version: StoreVersion,
    ) -> Result[OwnerLease, FindingsError]:
        """Decode the owner lease."""

    def encode_quarantine(self, parts: frozenset[PromptPart]) -> bytes:
        """Encode the quarantined parts of prompts."""

    def quarantine(
        self, key: str, body: bytes
    ) -> Result[frozenset[PromptPart], FindingsError]:
        """Decode the quarantined parts of prompts."""


class RequestCodec(Protocol):
    """Translates requests and answers between callers and targets."""

    def decode_request(
        self,
        read: RequestRead,
        now_s: float,
    ) -> Result[CallerRequest, FindingsError]:
        """Decode a caller's request."""

    def encode_request(self, sent: TargetRequest) -> RequestHead:
        """Encode the head of the request that a target is sent."""

    def decode_answer(self, head: HeadRead) -> TargetAnswer:
        """Decode the head of a target's answer."""

    def refusal_headers(self, retry_after_s: float) -> Headers:
        """Return the headers of a refusal by this instance.

        ``Retry-After`` is left out if ``retry_after_s`` is zero.
        """

    def refusal_body(self, message: str) -> bytes:
        """Return the body of a refusal by this instance."""


class PageCodec(Protocol):
    """Translates requests for the directory of entry instances."""

    def is_directory_request(self, target: bytes) -> bool:
        """Return whether a request target names the directory."""

    def encode_directory(
        self,
        instances: tuple[EntryInstance, ...],
        ttl_s: float,
    ) -> bytes:
        """Encode the directory.

        Parameters
        ----------
        instances
            Instances that take callers, in the order in which they are
            listed.
        ttl_s
            Seconds for which callers may cache the answer.

        """
