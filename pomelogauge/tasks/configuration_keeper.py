"""The task that owns the configuration in force and keeps it up to date."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Result, Success

from ..decide.confirmation import voters_of
from ..decide.known_versions import KnownVersions
from ..decide.version_chart import (
    VersionAction,
    VersionChart,
    VersionEvent,
    VersionFacts,
    VersionState,
)
from ..model.errors import Finding
from ..model.ids import NO_VERSION, ConfigVersion, NodeName
from ..model.manifest import Configuration
from ..model.phase import NodePhase
from .clock import Clock
from .configuration_requests import ConfigurationRequests
from .mailbox import Outbox
from .messages import (
    ConfigurationDocument,
    ConfigurationInForce,
    ConfigurationPushed,
    ConfigurationRequested,
    InstancesListed,
    PeersChanged,
    VersionConfirmed,
)
from .peer_messages import DocumentFetched, VersionRead
from .shutdown_messages import PhaseChanged

Decode = Callable[[bytes], Result[Configuration, tuple[Finding, ...]]]
KeeperAnswer = VersionRead | DocumentFetched
ConfigurationKeeperMessage = (
    ConfigurationRequested
    | ConfigurationPushed
    | InstancesListed
    | PeersChanged
    | KeeperAnswer
)

#: Seconds between two checks of whether the version is still confirmed.
CHECK_INTERVAL_S = 0.25

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class KeeperPorts:
    """Tasks that the configuration keeper notifies.

    Parameters
    ----------
    subscribers
        Get each configuration that comes into force.
    phases
        Get the phase of this process: ready or cut off.
    confirmations
        Get the time until which the version in force is confirmed.

    """

    subscribers: tuple[Outbox[ConfigurationInForce], ...]
    phases: tuple[Outbox[PhaseChanged], ...]
    confirmations: tuple[Outbox[VersionConfirmed], ...] = ()


class ConfigurationKeeper:
    """Steps the settings version chart and pushes adopted versions to peers.

    Parameters
    ----------
    node
        Name of this process, which doesn't count as its own voter.
    chart
        State chart ``settings_version``.
    decode
        Decodes a document; its findings say why a document is rejected.
    requests
        Queries the store and the peers; used by this task only.
    ports
        Tasks to notify.
    cut_off_after_s
        Seconds without confirmation after which no new work is accepted.
    clock
        Monotonic clock of this process.

    """

    def __init__(
        self,
        node: NodeName,
        chart: VersionChart,
        decode: Decode,
        requests: ConfigurationRequests,
        ports: KeeperPorts,
        cut_off_after_s: float,
        clock: Clock,
    ) -> None:
        """Start without a configuration, in the initial state of the chart."""
        self._node = node
        self._chart = chart
        self._decode = decode
        self._requests = requests
        self._ports = ports
        self._cut_off_after_s = cut_off_after_s
        self._clock = clock
        self._state = chart.initial
        self._document = ConfigurationDocument(NO_VERSION, b'', node)
        self._known = KnownVersions(clock.now_s())
        self._inbox: Outbox[KeeperAnswer] | None = None

    def listen_on(self, own: Outbox[KeeperAnswer]) -> None:
        """Set the outbox for replies to this task; call before the start."""
        self._inbox = own

    def on_start(self) -> None:
        """Do nothing; the reader and the senders own the connections."""

    def on_message(self, message: ConfigurationKeeperMessage) -> None:
        """Update the known versions, or reply with the version in force."""
        match message:
            case ConfigurationRequested():
                message.reply.post(self._document)
            case ConfigurationPushed():
                self._consider(message.document)
                message.reply.post(self._document.version)
            case InstancesListed():
                voters = voters_of(message.instances, self._node)
                self._known = replace(self._known, voters=voters)
            case PeersChanged():
                self._update_peers(message)
            case VersionRead():
                self._handle_version(message)
            case DocumentFetched():
                self._handle_document(message)

    def on_timer(self) -> float | None:
        """Check the confirmation and send the requests that are due."""
        self._check_confirmation()
        if self._inbox is not None:
            self._send_requests(self._inbox)
        return CHECK_INTERVAL_S

    def on_stop(self) -> None:
        """Do nothing; the reader and the senders own the connections."""

    def _update_peers(self, message: PeersChanged) -> None:
        now_s = self._clock.now_s()
        self._known = self._known.with_peers(message.peers, now_s)
        self._serve_if_unpublished()

    def _handle_version(self, message: VersionRead) -> None:
        self._requests.record_version()
        if isinstance(message.outcome, Success):
            self._known = self._known.with_stored(
                message.outcome.unwrap(), message.requested_at_s
            )
            self._serve_if_unpublished()
            return
        _log.warning(
            'configuration: read of the published version failed: %s',
            message.outcome.failure(),
        )

    def _handle_document(self, message: DocumentFetched) -> None:
        if isinstance(message.outcome, Success):
            self._requests.record_document()
            self._consider(message.outcome.unwrap())
            return
        fault = message.outcome.failure()
        _log.warning(
            'configuration: fetch of version %d failed: %s',
            self._known.newest,
            fault,
        )
        self._requests.record_failure(fault)

    def _serve_if_unpublished(self) -> None:
        """Serve without a configuration once it is confirmed that none exists."""
        is_confirmed = self._known.confirmed_until_s() is not None
        if self._state is VersionState.UNKNOWN and is_confirmed:
            self._consider(self._document)

    def _check_confirmation(self) -> None:
        unconfirmed_s = self._known.unconfirmed_s(self._clock.now_s())
        until_s = self._known.confirmed_at_s + self._cut_off_after_s
        for outbox in self._ports.confirmations:
            outbox.post(VersionConfirmed(until_s))
        event = VersionEvent.CONFIRMED
        if unconfirmed_s > self._cut_off_after_s:
            event = VersionEvent.CONFIRMATION_EXPIRED
        move = self._chart.step(self._state, event, self._facts())
        self._state = move.state
        self._publish_phase(move.action)

    def _consider(self, document: ConfigurationDocument) -> None:
        """Adopt a document if the chart allows it and it can be decoded."""
        self._known = self._known.with_version(document.version)
        facts = self._facts(document.version)
        move = self._chart.step(self._state, VersionEvent.OFFERED, facts)
        if move.action is None:
            return
        configuration = _decode_document(self._decode, document)
        if configuration is None:
            self._requests.record_undecodable()
            return
        self._state = move.state
        self._adopt(document, configuration)
        self._publish_phase(move.action)
        self._check_confirmation()

    def _adopt(
        self,
        document: ConfigurationDocument,
        configuration: Configuration,
    ) -> None:
        _log.info('configuration: version %d is in force', document.version)
        self._document = replace(document, sender=self._document.sender)
        self._known = self._known.with_adopted(document.version)
        for subscriber in self._ports.subscribers:
            subscriber.post(ConfigurationInForce(configuration))
        self._requests.push(self._document, self._known.peers)

    def _publish_phase(self, action: VersionAction | None) -> None:
        phase = _PHASES.get(action) if action else None
        if phase is None:
            return
        _log.info('configuration: phase of this process is now %s', phase)
        for outbox in self._ports.phases:
            outbox.post(PhaseChanged(phase))

    def _send_requests(self, own: Outbox[KeeperAnswer]) -> None:
        peers = self._known.peers
        unconfirmed_s = self._known.unconfirmed_s(self._clock.now_s())
        self._requests.read_version(len(peers), unconfirmed_s, own)
        if self._known.is_behind:
            self._requests.fetch(self._known.newest, peers, own)

    def _facts(self, offered: ConfigVersion = NO_VERSION) -> VersionFacts:
        return VersionFacts(
            in_force=self._known.in_force,
            newest=self._known.newest,
            offered=offered,
        )


def _decode_document(
    decode: Decode,
    document: ConfigurationDocument,
) -> Configuration | None:
    if document.version == NO_VERSION:
        return Configuration()
    decoded = decode(document.document)
    if isinstance(decoded, Success):
        configuration: Configuration = decoded.unwrap()
        return replace(configuration, version=document.version)
    for finding in decoded.failure():
        _log.error(
            'configuration: version %d rejected: %s', document.version, finding
        )
    return None


_PHASES = {
    VersionAction.ADOPT_AND_SERVE: NodePhase.READY,
    VersionAction.SERVE: NodePhase.READY,
    VersionAction.STOP_SERVING: NodePhase.CUT_OFF,
}
