"""A task that samples the state of an installation during a load."""

from dataclasses import dataclass

from ..model.topology import InstanceRole
from ..tasks.mailbox import Mailbox, Outbox
from .cluster import Cluster
from .cluster_spec import ACCELERATORS
from .measurement import NodeVersion, Sample
from .readings import EngineReader, NodeReader, RowReader
from .recorder import Recorder

#: Seconds between two samples.
SAMPLE_INTERVAL_S = 0.25


@dataclass(frozen=True)
class SamplesAsked:
    """The tool asks for all samples so far."""

    reply: Outbox[tuple[Sample, ...]]


class SamplerActor:
    """Reads engines, tables, routers and controllers in turn.

    Parameters
    ----------
    cluster
        The installation, which does not change.
    recorder
        Clock of the load.

    """

    def __init__(self, cluster: Cluster, recorder: Recorder) -> None:
        """Open no connection yet."""
        self._recorder = recorder
        # Nobody reads these events, so they go to a recorder of their own.
        events = Recorder()
        self._engines = EngineReader(events)
        self._nodes = NodeReader(events)
        self._rows = RowReader(events, cluster.platform)
        self._engine_addresses = cluster.addresses(InstanceRole.ENGINE)
        self._peer_addresses = cluster.peer_addresses()
        self._samples: list[Sample] = []

    def on_start(self) -> None:
        """Do nothing yet."""

    def on_message(self, message: SamplesAsked) -> None:
        """Answer with all samples."""
        message.reply.post(tuple(self._samples))

    def on_timer(self) -> float:
        """Take a sample."""
        self._samples.append(self._sample())
        return SAMPLE_INTERVAL_S

    def on_stop(self) -> None:
        """Close the connections."""
        self._engines.close()
        self._nodes.close()

    def _sample(self) -> Sample:
        at_s = self._recorder.now_s()
        reports = {
            report.instance: report
            for report in self._engines.read(self._engine_addresses)
            if report.state == 'ready'
        }
        complete = [
            row
            for row in self._rows.replicas()
            if all(
                member in reports and reports[member].replica == row.replica
                for member in row.members
            )
        ]
        busy = sum(len(row.members) for row in complete)
        idle = len(self._engine_addresses) - busy
        versions = tuple(
            NodeVersion(status.sender.node, status.sender.version)
            for status in self._nodes.read(self._peer_addresses)
        )
        return Sample(at_s, len(complete), idle * ACCELERATORS, versions)


def ask_samples(outbox: Outbox[SamplesAsked]) -> tuple[Sample, ...]:
    """Return all samples of a sampler's task."""
    reply: Mailbox[tuple[Sample, ...]] = Mailbox()
    outbox.post(SamplesAsked(reply))
    return reply.take() or ()
