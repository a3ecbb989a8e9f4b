"""What the configuration keeper sends others for."""

from dataclasses import dataclass
from random import Random

from ..decide.spread import (
    SpreadSettings,
    jittered_s,
    pick_source,
    push_targets,
)
from ..model.ids import ConfigVersion
from ..model.peers import PeerView
from ..tables.protocols import PlatformError, PlatformFault
from .clock import Clock
from .links import LinkError
from .mailbox import Outbox
from .messages import ConfigurationDocument
from .peer_messages import (
    DocumentFetched,
    FetchDocument,
    PushDocument,
    ReadDocument,
    ReadVersion,
    VersionRead,
)

#: Seconds after which an errand without an answer is given up.
REQUEST_TIMEOUT_S = 10.0
#: Seconds between a failed fetch and the next one.
RETRY_S = 0.5


@dataclass(frozen=True)
class ConfigurationRequestPorts:
    """Who runs the errands.

    Parameters
    ----------
    reader
        Reads the store.
    fetcher
        Courier that fetches from peers.
    pushers
        Couriers that push to peers.

    """

    reader: Outbox[ReadVersion | ReadDocument]
    fetcher: Outbox[FetchDocument]
    pushers: tuple[Outbox[PushDocument], ...]


class ConfigurationRequests:
    """Limits how often the store and the peers are asked.

    Owned by the configuration keeper.

    Parameters
    ----------
    ports
        Who runs the errands.
    settings
        Times and sizes.
    clock
        Own clock.
    rng
        Source of jitter and of the choice of peers.

    """

    def __init__(
        self,
        ports: ConfigurationRequestPorts,
        settings: SpreadSettings,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Start with a read that is due."""
        self._ports = ports
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._read_from_s = float('-inf')
        self._read_stretch = 1.0
        self._fetch_due_s = float('-inf')
        self._store_next = False

    def read_version(
        self,
        live_peers: int,
        unconfirmed_s: float,
        reply: Outbox[VersionRead],
    ) -> None:
        """Ask for the published version when that is due."""
        now_s = self._clock.now_s()
        interval_s = self._settings.interval_s(live_peers, unconfirmed_s)
        if now_s < self._read_from_s + interval_s * self._read_stretch:
            return
        self._read_from_s = now_s + REQUEST_TIMEOUT_S
        self._ports.reader.post(ReadVersion(now_s, reply))

    def record_version(self) -> None:
        """Start the interval to the next read."""
        self._read_from_s = self._clock.now_s()
        self._read_stretch = jittered_s(1.0, self._rng)

    def fetch(
        self,
        version: ConfigVersion,
        peers: tuple[PeerView, ...],
        reply: Outbox[DocumentFetched],
    ) -> None:
        """Ask for a document, unless one is on its way.

        Peers go first, which spares the store; after a peer has failed the
        store is asked.
        """
        now_s = self._clock.now_s()
        if now_s < self._fetch_due_s:
            return
        self._fetch_due_s = now_s + REQUEST_TIMEOUT_S
        address = pick_source(peers, version, self._rng)
        if address is None or self._store_next:
            self._store_next = False
            self._ports.reader.post(ReadDocument(version, reply))
        else:
            self._ports.fetcher.post(FetchDocument(address, version, reply))

    def record_undecodable(self) -> None:
        """Allow the next fetch after a pause; the document can't be read."""
        self._fetch_due_s = self._clock.now_s() + RETRY_S

    def record_document(self) -> None:
        """Allow the next fetch at once."""
        self._fetch_due_s = self._clock.now_s()

    def record_failure(self, fault: PlatformError | LinkError) -> None:
        """Allow the next fetch after a pause."""
        self._store_next = isinstance(fault, LinkError)
        wait_s = jittered_s(RETRY_S, self._rng)
        self._fetch_due_s = self._clock.now_s() + wait_s
        if _has_moved_on(fault):
            # Another version was published between the two reads.
            self._read_from_s = float('-inf')

    def push(
        self,
        document: ConfigurationDocument,
        peers: tuple[PeerView, ...],
    ) -> None:
        """Push a document to some peers that don't have it yet."""
        targets = push_targets(
            peers,
            document.version,
            self._settings.push_fan_out,
            self._rng,
        )
        for turn, address in enumerate(targets):
            pusher = self._ports.pushers[turn % len(self._ports.pushers)]
            pusher.post(PushDocument(address, document))


def _has_moved_on(fault: PlatformError | LinkError) -> bool:
    if isinstance(fault, LinkError):
        return False
    return fault.fault is PlatformFault.CONFLICT
