"""Sends an entry instance's reports and table watches to the owner."""

import grpc
from returns.result import Failure, Result, Success

from ..entry.owner_link import EntryReport, MembershipSnapshot, OwnerLinkError
from ..entry.table_deltas import WATCH_HOLD_S, TableDeltas, TableVersions
from ..model.ids import Address
from . import entry_peer_pb2
from .entry_codec import (
    MalformedDeltasError,
    decode_deltas,
    decode_membership_snapshot,
    encode_known_versions,
    encode_report,
)

#: Seconds for one report; instances are about a millisecond apart on the
#: network.
REPORT_TIMEOUT_S = 0.4

#: Seconds for one watch, which the owner holds until a table changes.
WATCH_TIMEOUT_S = WATCH_HOLD_S + REPORT_TIMEOUT_S

_REPORT_METHOD = '/pomelogauge.EntryPeer/Report'
_FOLLOW_METHOD = '/pomelogauge.EntryPeer/Follow'
_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.min_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 300),
)


class GrpcOwnerLink:
    """Channel to the current owner, opened anew when the owner changes.

    Used by one task only.
    """

    def __init__(self) -> None:
        """Start without a channel; the first call opens one."""
        self._address = Address('')
        self._channel: grpc.Channel | None = None

    def report(
        self,
        address: Address,
        report: EntryReport,
    ) -> Result[MembershipSnapshot, OwnerLinkError]:
        """Report this instance to the owner.

        Parameters
        ----------
        address
            Address of the owner.
        report
            State of this instance and its suspected targets.

        Returns
        -------
        Result
            The owner's membership snapshot, or the error.

        """
        call = self._open(address).unary_unary(
            _REPORT_METHOD,
            request_serializer=entry_peer_pb2.EntryReport.SerializeToString,
            response_deserializer=entry_peer_pb2.EntryRoll.FromString,
        )
        try:
            answer = call(encode_report(report), timeout=REPORT_TIMEOUT_S)
        except grpc.RpcError as exc:
            return self._close_failed(exc)
        return Success(decode_membership_snapshot(answer))

    def watch(
        self,
        address: Address,
        known_versions: TableVersions,
    ) -> Result[TableDeltas, OwnerLinkError]:
        """Wait until a table changes or the owner's hold time is over.

        Parameters
        ----------
        address
            Address of the owner.
        known_versions
            Version of each table that this instance has.

        Returns
        -------
        Result
            What changed in each table, perhaps nothing, or the error.

        """
        call = self._open(address).unary_unary(
            _FOLLOW_METHOD,
            request_serializer=(
                entry_peer_pb2.FollowQuestion.SerializeToString
            ),
            response_deserializer=entry_peer_pb2.FollowAnswer.FromString,
        )
        try:
            answer = call(
                encode_known_versions(known_versions), timeout=WATCH_TIMEOUT_S
            )
        except grpc.RpcError as exc:
            return self._close_failed(exc)
        try:
            return Success(decode_deltas(answer))
        except MalformedDeltasError as malformed:
            return Failure(OwnerLinkError(str(malformed)))

    def _close_failed(self, exc: grpc.RpcError) -> Failure[OwnerLinkError]:
        # The connection may be dead without a sign of it; the next call opens
        # another one.
        self._close()
        return Failure(OwnerLinkError(str(exc.details())))

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
