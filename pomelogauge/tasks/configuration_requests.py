"""Requests for versions and documents to the store and to peers."""

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

#: Seconds after which a request without an answer may be sent again.
REQUEST_TIMEOUT_S = 10.0
#: Seconds between a failed fetch and the next one.
RETRY_S = 0.5


@dataclass(frozen=True)
class ConfigurationRequestPorts:
    """Tasks that carry out the blocking calls.

    Parameters
    ----------
    reader
        Reads versions and documents from the configuration store.
    fetcher
        Fetches documents from peers.
    pushers
        Push documents to peers; they take turns.

    """

    reader: Outbox[ReadVersion | ReadDocument]
    fetcher: Outbox[FetchDocument]
    pushers: tuple[Outbox[PushDocument], ...]


class ConfigurationRequests:
    """Limits how often the store and the peers are queried.

    Part of the configuration keeper's task.

    Parameters
    ----------
    ports
        Tasks that carry out the calls.
    settings
        Read interval and number of peers to push to.
    clock
        Monotonic clock of this process.
    rng
        Source of the jitter and of the choice of peers.

    """

    def __init__(
        self,
        ports: ConfigurationRequestPorts,
        settings: SpreadSettings,
        clock: Clock,
        rng: Random,
    ) -> None:
        """Make the first read and the first fetch due at once."""
        self._ports = ports
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._read_after_s = float('-inf')
        self._read_jitter = 1.0
        self._fetch_due_s = float('-inf')
        self._use_store_next = False

    def read_version(
        self,
        live_peers: int,
        unconfirmed_s: float,
        reply: Outbox[VersionRead],
    ) -> None:
        """Request the published version from the store if a read is due.

        Parameters
        ----------
        live_peers
            Number of live peers, which share the read rate of the store.
        unconfirmed_s
            Seconds since the version in force was last confirmed.
        reply
            Gets the answer, whether the read succeeds or fails.

        """
        now_s = self._clock.now_s()
        interval_s = self._settings.interval_s(live_peers, unconfirmed_s)
        if now_s < self._read_after_s + interval_s * self._read_jitter:
            return
        self._read_after_s = now_s + REQUEST_TIMEOUT_S
        self._ports.reader.post(ReadVersion(now_s, reply))

    def record_version(self) -> None:
        """Start the interval until the next read, with new jitter."""
        self._read_after_s = self._clock.now_s()
        self._read_jitter = jittered_s(1.0, self._rng)

    def fetch(
        self,
        version: ConfigVersion,
        peers: tuple[PeerView, ...],
        reply: Outbox[DocumentFetched],
    ) -> None:
        """Request a document unless a request is already in progress.

        Peers are tried first to keep load off the store; after a fetch from a
        peer has failed, the next request goes to the store.

        Parameters
        ----------
        version
            Lowest version that is wanted.
        peers
            Live peers with the versions that they report.
        reply
            Gets the document or the error.

        """
        now_s = self._clock.now_s()
        if now_s < self._fetch_due_s:
            return
        self._fetch_due_s = now_s + REQUEST_TIMEOUT_S
        address = pick_source(peers, version, self._rng)
        if address is None or self._use_store_next:
            self._use_store_next = False
            self._ports.reader.post(ReadDocument(version, reply))
        else:
            self._ports.fetcher.post(FetchDocument(address, version, reply))

    def record_undecodable(self) -> None:
        """Delay the next fetch; the document could not be decoded."""
        self._fetch_due_s = self._clock.now_s() + RETRY_S

    def record_document(self) -> None:
        """Allow the next fetch at once; a document has arrived."""
        self._fetch_due_s = self._clock.now_s()

    def record_failure(self, fault: PlatformError | LinkError) -> None:
        """Delay the next fetch, and choose its source by the kind of error."""
        self._use_store_next = isinstance(fault, LinkError)
        wait_s = jittered_s(RETRY_S, self._rng)
        self._fetch_due_s = self._clock.now_s() + wait_s
        if _is_superseded(fault):
            # Another version was published between the read of the version
            # and the read of the document, so that the version is read again.
            self._read_after_s = float('-inf')

    def push(
        self,
        document: ConfigurationDocument,
        peers: tuple[PeerView, ...],
    ) -> None:
        """Push a document to some of the peers that report an older version."""
        targets = push_targets(
            peers,
            document.version,
            self._settings.push_fan_out,
            self._rng,
        )
        for index, address in enumerate(targets):
            pusher = self._ports.pushers[index % len(self._ports.pushers)]
            pusher.post(PushDocument(address, document))


def _is_superseded(fault: PlatformError | LinkError) -> bool:
    if isinstance(fault, LinkError):
        return False
    return fault.fault is PlatformFault.CONFLICT
