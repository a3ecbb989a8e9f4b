"""What the steps of one scenario act on."""

import random
from pathlib import Path

from returns.pipeline import is_successful

from ..model.ids import Address
from ..model.topology import Instance, InstanceRole
from ..tasks.messages import NodeStatus
from ..wire.peer_client import GrpcLinks
from .callers import Callers, Chat
from .chat_states import ChatState, chat_states
from .cluster import Cluster, ClusterSpec
from .manifests import organisation_names
from .observer import Observers
from .readings import (
    OBSERVER,
    READ_TIMEOUT_S,
    EngineReader,
    NodeReader,
    RowReader,
)
from .record import DataCentreOf, EngineSeen, FaultMade
from .recorder import Recorder
from .steps import StepError

#: Organisations of every scenario's manifest.
ORGANISATIONS = 2

ENTRY_ROLES = (InstanceRole.ROUTER, InstanceRole.CONTROLLER)


class World:
    """One installation with its callers, record and random source.

    Belongs to the thread that runs the scenario.

    Parameters
    ----------
    folder
        Where logs go.
    seed
        Of the random source.

    Attributes
    ----------
    last_found
        Process or instance that a step named last.

    """

    def __init__(self, folder: Path, seed: int) -> None:
        """Start nothing yet."""
        self.folder = folder
        self.rng = random.Random(seed)
        self.recorder = Recorder()
        self.callers = Callers(self.recorder)
        self._cluster: Cluster | None = None
        self._observers: Observers | None = None
        self._rows: RowReader | None = None
        self._engines = EngineReader(self.recorder)
        self._nodes = NodeReader(self.recorder)
        self._links = GrpcLinks(OBSERVER, READ_TIMEOUT_S)
        self.last_found = ''
        self._numbers = 0

    @property
    def cluster(self) -> Cluster:
        """The installation.

        Raises
        ------
        StepError
            No step has started one.

        """
        if self._cluster is None:
            raise StepError('no installation was started')
        return self._cluster

    @property
    def rows(self) -> RowReader:
        """Reads the controllers' tables."""
        if self._rows is None:
            raise StepError('no installation was started')
        return self._rows

    def start(self, spec: ClusterSpec) -> None:
        """Start the platform, and observe all that starts later."""
        self._cluster = Cluster(spec, self.folder)
        self._cluster.start_platform()
        self._rows = RowReader(self.recorder, self._cluster.platform)
        self._observers = Observers(self.recorder, self._cluster.platform)
        self._observers.start()

    def watch(self) -> None:
        """Tell the observers which processes there are."""
        if self._observers:
            self._observers.watch(
                self.cluster.addresses(InstanceRole.ENGINE),
                self.cluster.peer_addresses(),
            )
        for listed in self.instances():
            self.recorder.post(
                DataCentreOf(
                    self.recorder.now_s(),
                    listed.name,
                    str(listed.role),
                    listed.data_centre,
                )
            )

    def stop_observing(self) -> None:
        """End the readings of the record."""
        if self._observers:
            self._observers.stop()
            self._observers = None
        self._engines.close()
        self._nodes.close()
        self._links.close()

    def end(self) -> None:
        """End all processes at once."""
        if self._cluster:
            self._cluster.kill()

    def number(self) -> int:
        """Return a number that no other call returns."""
        self._numbers += 1
        return self._numbers

    def note(self, kind: str, subject: str, detail: str = '') -> None:
        """Record a fault that was made or ended."""
        at_s = self.recorder.now_s()
        self.recorder.post(FaultMade(at_s, kind, subject, detail))

    def instances(self) -> tuple[Instance, ...]:
        """Return all instances of running processes."""
        return tuple(
            listed
            for started in self.cluster.members
            if started.process.alive
            for listed in started.instances()
        )

    def engines(self) -> tuple[EngineSeen, ...]:
        """Read the reports of all running engines."""
        return self._engines.read(self.cluster.addresses(InstanceRole.ENGINE))

    def nodes(self) -> tuple[NodeStatus, ...]:
        """Read the status of all running routers and controllers."""
        return self._nodes.read(self.cluster.peer_addresses())

    def set_cuts(self, process: Address, names: tuple[str, ...]) -> None:
        """Cut a router's or controller's links to exactly these peers."""
        outcome = self._links.block_links(process, names)
        if not is_successful(outcome):
            raise StepError(str(outcome.failure()))

    def routers(self) -> tuple[Address, ...]:
        """Return the addresses of the running routers."""
        return self.cluster.addresses(InstanceRole.ROUTER)

    def chat(self, tokens: int) -> Chat:
        """Return a chat request of some organisation."""
        number = self.number()
        organisation = self.rng.choice(organisation_names(ORGANISATIONS))
        prompt = f'stile {number} {self.rng.random()}'
        return Chat(f'chat-{number}', organisation, prompt, tokens)

    def chats(self) -> tuple[ChatState, ...]:
        """Return how far all chat requests have come."""
        return chat_states(self.recorder.events())
