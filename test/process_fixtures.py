"""Fixture that runs an installation of real processes."""

import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path

from returns.result import Success

from pomelogauge.app.connections import Connections
from pomelogauge.app.operator_settings import PublishSettings
from pomelogauge.app.publisher import Publisher
from pomelogauge.lab.cluster import Cluster, ClusterSpec
from pomelogauge.lab.demo import publish
from pomelogauge.lab.manifests import manifest_for, manifest_text
from pomelogauge.lab.standin_control import StandinMode
from pomelogauge.model.ids import Address, NodeName
from pomelogauge.model.peers import NodeReport
from pomelogauge.model.phase import NodePhase
from pomelogauge.tasks.messages import NodeStatus
from pomelogauge.wire.peer_client import GrpcLinks

#: Deadline of any step in seconds, far above the usual duration.
LIMIT_S = 20.0
_POLL_INTERVAL_S = 0.1


class Installation:
    """Processes of one test class, with fault injection."""

    def __init__(self, spec: ClusterSpec) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix='pomelogauge-')
        self.path = Path(self._folder.name)
        self.cluster = Cluster(spec, self.path)
        self.links = GrpcLinks(NodeName('test'), 1)

    def start(self, span: int = 4) -> None:
        self.cluster.start_targets()
        manifest = manifest_for(self.cluster.spec, span=span)
        text = manifest_text(manifest)
        publish(self.cluster, self.path, text)
        self.cluster.start_entries()
        self.wait(lambda: self.all_are(NodePhase.READY, 1), 'ready')

    def end(self) -> None:
        self.cluster.end()
        self.links.close()
        self._folder.cleanup()

    def addresses(self) -> dict[NodeName, Address]:
        return {
            NodeName(ready.name): ready.peer_address
            for started in self.cluster.members
            if started.process.alive
            for ready in started.process.ready
            if ready.peer_address
        }

    def status(self, node: str) -> NodeStatus | None:
        answer = self.links.status(self.addresses()[NodeName(node)])
        return answer.unwrap() if isinstance(answer, Success) else None

    def report(self, node: str) -> NodeReport | None:
        status = self.status(node)
        return status.sender if status else None

    def all_are(
        self,
        phase: NodePhase,
        version: int,
        nodes: Iterable[str] = (),
    ) -> bool:
        reports = [self.report(node) for node in nodes or self.addresses()]
        return all(
            at is not None and at.phase is phase and at.version >= version
            for at in reports
        )

    def wait(self, holds: Callable[[], bool], what: str) -> None:
        until_s = time.monotonic() + LIMIT_S
        while not holds():
            if time.monotonic() > until_s:
                raise AssertionError(f'not {what} within {LIMIT_S} s')
            time.sleep(_POLL_INTERVAL_S)

    def publisher(self, name: str = 'test') -> Publisher:
        cfg = PublishSettings(platform=self.cluster.platform, publisher=name)
        return Publisher(Connections(), cfg)

    def set_store(self, mode: str, delay_s: float = 0) -> None:
        self.cluster.control.set_mode(
            self.cluster.platform, StandinMode(mode, delay_s=delay_s)
        )

    def block_links(self, nodes: tuple[str, ...]) -> None:
        """Block links of these nodes, as one group, to others and the store."""
        known = self.addresses()
        others = tuple(node for node in known if node not in nodes)
        for node, address in known.items():
            far = others if node in nodes else nodes
            self.links.block_links(address, far).unwrap()
        self.cluster.control.block_links(self.cluster.platform, nodes)

    def heal(self) -> None:
        for address in self.addresses().values():
            self.links.block_links(address, ()).unwrap()
        self.cluster.control.block_links(self.cluster.platform, ())
