"""Reports to the owner, and questions to it, over gRPC."""

import grpc
from returns.result import Failure, Result, Success

from ..entry.owner_link import EntryReport, MembershipSnapshot, OwnerLinkError
from ..entry.table_deltas import WATCH_HOLD_S, TableDeltas, TableVersions
from ..model.ids import Address
from . import entry_peer_pb2
from .entry_codec import (
    decode_deltas,
    decode_membership_snapshot,
    encode_known_versions,
    encode_report,
)

#: Seconds for one report. Instances are a millisecond apart.
REPORT_TIMEOUT_S = 0.4

#: Seconds for one question, which the owner holds while there is no news.
FOLLOW_TIMEOUT_S = WATCH_HOLD_S + REPORT_TIMEOUT_S

_REPORT = '/pomelogauge.EntryPeer/Report'
_FOLLOW = '/pomelogauge.EntryPeer/Follow'
_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 300),
)
_REFUSED = frozenset(
    (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.FAILED_PRECONDITION)
)


class GrpcOwnerLink:
    """One channel to the present owner; used by one task."""

    def __init__(self) -> None:
        """Start without a channel."""
        self._address = Address('')
        self._channel: grpc.Channel | None = None

    def report(
        self,
        address: Address,
        report: EntryReport,
    ) -> Result[MembershipSnapshot, OwnerLinkError]:
        """Report once."""
        call = self._open(address).unary_unary(
            _REPORT,
            request_serializer=entry_peer_pb2.EntryReport.SerializeToString,
            response_deserializer=entry_peer_pb2.EntryRoll.FromString,
        )
        try:
            answer = call(encode_report(report), timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError as exc:
            return self._failed(exc)
        return Success(decode_membership_snapshot(answer))

    def watch(
        self,
        address: Address,
        known_versions: TableVersions,
    ) -> Result[TableDeltas, OwnerLinkError]:
        """Wait for news beyond the known versions."""
        call = self._open(address).unary_unary(
            _FOLLOW,
            request_serializer=(
                entry_peer_pb2.FollowQuestion.SerializeToString
            ),
            response_deserializer=entry_peer_pb2.FollowAnswer.FromString,
        )
        try:
            answer = call(
                encode_known_versions(known_versions), timeout=FOLLOW_TIMEOUT_S
            )
        except grpc.RpcError as exc:
            return self._failed(exc)
        return Success(decode_deltas(answer))

    def _failed(self, exc: grpc.RpcError) -> Failure[OwnerLinkError]:
        # A channel that went silent is not used again.
        self._close()
        return Failure(
            OwnerLinkError(str(exc.details()), exc.code() in _REFUSED)
        )

    def _open(self, address: Address) -> grpc.Channel:
        if self._channel is None or address != self._address:
            self._close()
            self._address = address
            self._channel = grpc.insecure_channel(address, options=_OPTIONS)
        return self._channel

    def _close(self) -> None:
        if self._channel is not None:
            self._channel.close()
            self._channel = None
