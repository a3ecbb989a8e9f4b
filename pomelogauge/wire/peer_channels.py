"""Cache of gRPC channels to peers."""

from collections import OrderedDict

import grpc

from ..model.ids import Address
from .peer_pb2_grpc import PeerStub

#: Maximum number of open channels; the least recently used one is closed
#: first.
MAX_CHANNELS = 32
#: Largest message in bytes, either way; configurations are the largest.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.min_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
)


class PeerChannels:
    """Cache with one channel for each address; owned by one task."""

    def __init__(self) -> None:
        """Start empty; ``stub`` opens channels."""
        self._channels: OrderedDict[Address, grpc.Channel] = OrderedDict()

    def stub(self, address: Address) -> PeerStub:
        """Return a stub for an address, opening a channel if needed."""
        channel = self._channels.get(address)
        if channel is None:
            self._evict_oldest()
            channel = grpc.insecure_channel(address, options=_OPTIONS)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        # The generated stub has no types.
        return PeerStub(channel)  # type: ignore[no-untyped-call]

    def drop(self, address: Address) -> None:
        """Close the channel to an address, if there is one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Close all channels; the next ``stub`` opens new ones."""
        for address in tuple(self._channels):
            self.drop(address)

    def _evict_oldest(self) -> None:
        if len(self._channels) >= MAX_CHANNELS:
            self.drop(next(iter(self._channels)))
