"""The task that holds the configuration in force."""

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
from ..model.peers import NodePhase
from .clock import Clock
from .configuration_requests import ConfigurationRequests
from .mailbox import Outbox
from .messages import (
    ConfigurationAsked,
    ConfigurationDocument,
    ConfigurationInForce,
    ConfigurationPushed,
    InstancesListed,
    PeersChanged,
    PhaseChanged,
    VersionConfirmed,
)
from .peer_messages import DocumentFetched, VersionRead

Decode = Callable[[bytes], Result[Configuration, tuple[Finding, ...]]]
KeeperAnswer = VersionRead | DocumentFetched
ConfigurationKeeperMessage = (
    ConfigurationAsked
    | ConfigurationPushed
    | InstancesListed
    | PeersChanged
    | KeeperAnswer
)

#: Seconds between two checks of the confirmation.
CHECK_INTERVAL_S = 0.25

_log = logging.getLogger(__name__)


@dataclass(frozen=True)
class KeeperPorts:
    """Whom the configuration keeper tells.

    Parameters
    ----------
    subscribers
        Learn of each configuration that comes into force.
    phases
        Learn whether the process may take new work.
    confirmations
        Learn until when the version is confirmed.

    """

    subscribers: tuple[Outbox[ConfigurationInForce], ...]
    phases: tuple[Outbox[PhaseChanged], ...]
    confirmations: tuple[Outbox[VersionConfirmed], ...] = ()


class ConfigurationKeeper:
    """Steps the settings version chart and spreads what it adopts.

    Parameters
    ----------
    node
        Name of this node.
    chart
        The settings version chart.
    decode
        Decodes a document.
    requests
        Asks the store and the peers; owned by this task.
    ports
        Subscribers.
    cut_off_after_s
        Seconds without confirmation after which no new work is taken.
    clock
        Own clock.

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
        """Start without a configuration."""
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
        self._own: Outbox[KeeperAnswer] | None = None

    def listen_on(self, own: Outbox[KeeperAnswer]) -> None:
        """Set where answers to this task are left; before the start."""
        self._own = own

    def on_start(self) -> None:
        """Open nothing; the reader and the couriers own the sockets."""

    def on_message(self, message: ConfigurationKeeperMessage) -> None:
        """Take news of versions, or answer with what is in force."""
        match message:
            case ConfigurationAsked():
                message.reply.post(self._document)
            case ConfigurationPushed():
                self._offer(message.document)
                message.reply.post(self._document.version)
            case InstancesListed():
                voters = voters_of(message.instances, self._node)
                self._known = replace(self._known, voters=voters)
            case PeersChanged():
                self._hear(message)
            case VersionRead():
                self._take_version(message)
            case DocumentFetched():
                self._take_document(message)

    def on_timer(self) -> float | None:
        """Check the confirmation and ask for what is due."""
        self._check()
        if self._own is not None:
            self._run_errands(self._own)
        return CHECK_INTERVAL_S

    def on_stop(self) -> None:
        """Close nothing; the reader and the couriers own the sockets."""

    def _hear(self, message: PeersChanged) -> None:
        now_s = self._clock.now_s()
        self._known = self._known.with_peers(message.peers, now_s)
        self._serve_nothing()

    def _take_version(self, message: VersionRead) -> None:
        self._requests.record_version()
        if isinstance(message.outcome, Success):
            self._known = self._known.with_stored(
                message.outcome.unwrap(), message.requested_at_s
            )
            self._serve_nothing()
            return
        _log.warning(
            'configuration: version not read: %s', message.outcome.failure()
        )

    def _take_document(self, message: DocumentFetched) -> None:
        if isinstance(message.outcome, Success):
            self._requests.record_document()
            self._offer(message.outcome.unwrap())
            return
        fault = message.outcome.failure()
        _log.warning('configuration: document not fetched: %s', fault)
        self._requests.record_failure(fault)

    def _serve_nothing(self) -> None:
        """Begin where those who would know say that nothing is published."""
        is_confirmed = self._known.confirmed_until_s() is not None
        if self._state is VersionState.UNKNOWN and is_confirmed:
            self._offer(self._document)

    def _check(self) -> None:
        silent_s = self._known.unconfirmed_s(self._clock.now_s())
        until_s = self._known.confirmed_at_s + self._cut_off_after_s
        for outbox in self._ports.confirmations:
            outbox.post(VersionConfirmed(until_s))
        event = VersionEvent.CONFIRMED
        if silent_s > self._cut_off_after_s:
            event = VersionEvent.CONFIRMATION_EXPIRED
        move = self._chart.step(self._state, event, self._facts())
        self._state = move.state
        self._tell_phase(move.action)

    def _offer(self, document: ConfigurationDocument) -> None:
        """Adopt a document if the chart allows and it can be decoded."""
        self._known = self._known.with_version(document.version)
        facts = self._facts(document.version)
        move = self._chart.step(self._state, VersionEvent.OFFERED, facts)
        if move.action is None:
            return
        configuration = _decoded(self._decode, document)
        if configuration is None:
            self._requests.record_undecodable()
            return
        self._state = move.state
        self._adopt(document, configuration)
        self._tell_phase(move.action)
        self._check()

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

    def _tell_phase(self, action: VersionAction | None) -> None:
        phase = _PHASES.get(action) if action else None
        if phase is None:
            return
        _log.info('configuration: the process is %s', phase)
        for outbox in self._ports.phases:
            outbox.post(PhaseChanged(phase))

    def _run_errands(self, own: Outbox[KeeperAnswer]) -> None:
        peers = self._known.peers
        silent_s = self._known.unconfirmed_s(self._clock.now_s())
        self._requests.read_version(len(peers), silent_s, own)
        if self._known.is_behind:
            self._requests.fetch(self._known.newest, peers, own)

    def _facts(self, offered: ConfigVersion = NO_VERSION) -> VersionFacts:
        return VersionFacts(
            in_force=self._known.in_force,
            newest=self._known.newest,
            offered=offered,
        )


def _decoded(
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
        _log.error('configuration: not adopted: %s', finding)
    return None


_PHASES = {
    VersionAction.ADOPT_AND_SERVE: NodePhase.READY,
    VersionAction.SERVE: NodePhase.READY,
    VersionAction.STOP_SERVING: NodePhase.CUT_OFF,
}
