"""Watches which version each process of an installation has in force."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from returns.result import Success

from ..model.ids import NO_VERSION, Address, ConfigVersion, NodeName
from ..model.phase import NodePhase
from ..tasks.clock import Clock
from ..tasks.links import PeerLinks
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.task import Task

#: Seconds between two questions to one process.
ASK_INTERVAL_S = 0.05


@dataclass(frozen=True)
class Sample:
    """What a process said of itself.

    Parameters
    ----------
    node
        The process.
    version
        Configuration in force.
    phase
        Whether it takes new work.
    asked_at_s, answered_at_s
        Clock of the tool.

    """

    node: NodeName
    version: ConfigVersion
    phase: NodePhase
    asked_at_s: float
    answered_at_s: float


@dataclass(frozen=True)
class NoMessage:
    """A probe takes no messages."""


class VersionProbe:
    """Asks one process again and again; owns the link to it.

    Parameters
    ----------
    address
        gRPC interface of the process.
    links
        Owned by this task.
    clock
        Clock of the tool.
    record
        Takes the samples.

    """

    def __init__(
        self,
        address: Address,
        links: PeerLinks,
        clock: Clock,
        record: Outbox[Sample],
    ) -> None:
        """Ask at once when the task starts."""
        self._address = address
        self._links = links
        self._clock = clock
        self._record = record

    def on_start(self) -> None:
        """Open nothing; the link opens on use."""

    def on_message(self, message: NoMessage) -> None:
        """Take nothing."""

    def on_timer(self) -> float | None:
        """Ask once; what does not answer leaves no sample."""
        asked_at_s = self._clock.now_s()
        status = self._links.status(self._address)
        if isinstance(status, Success):
            report = status.unwrap().sender
            self._record.post(
                Sample(
                    report.node,
                    report.version,
                    report.phase,
                    asked_at_s,
                    self._clock.now_s(),
                )
            )
        return ASK_INTERVAL_S

    def on_stop(self) -> None:
        """Leave the link to the process's end."""


class VersionWatch:
    """One probe for each watched process; belongs to one tool's thread."""

    def __init__(self, clock: Clock) -> None:
        """Watch nothing yet."""
        self._clock = clock
        self._inbox: Mailbox[Sample] = Mailbox()
        self._probes: dict[NodeName, Task[NoMessage]] = {}
        self._samples: list[Sample] = []

    def watch(self, node: NodeName, address: Address, links: PeerLinks) -> None:
        """Watch a process, in place of an earlier one of its name."""
        self.forget(node)
        probe = VersionProbe(address, links, self._clock, self._inbox)
        task: Task[NoMessage] = Task(f'probe-{node}', probe)
        self._probes[node] = task
        task.start()

    def forget(self, node: NodeName) -> None:
        """Watch a process no longer."""
        task = self._probes.pop(node, None)
        if task:
            task.stop(0)

    def samples(self) -> tuple[Sample, ...]:
        """Return all samples up to now."""
        while sample := self._inbox.take(0):
            self._samples.append(sample)
        return tuple(self._samples)

    def wait_until(
        self,
        nodes: Iterable[NodeName],
        version: ConfigVersion,
        limit_s: float,
    ) -> frozenset[NodeName]:
        """Return the processes that don't report a version in time."""
        late = set(nodes)
        until_s = self._clock.now_s() + limit_s
        for known in self._samples:
            self._strike(late, known, version)
        while late and self._clock.now_s() < until_s:
            sample = self._inbox.take(ASK_INTERVAL_S)
            if sample:
                self._samples.append(sample)
                self._strike(late, sample, version)
        return frozenset(late)

    def stop(self) -> None:
        """End all probes."""
        for node in tuple(self._probes):
            self.forget(node)

    def _strike(
        self,
        late: set[NodeName],
        sample: Sample,
        version: ConfigVersion,
    ) -> None:
        is_in_force = sample.version >= version
        if is_in_force and sample.phase is NodePhase.READY:
            late.discard(sample.node)


def in_force_after_s(
    samples: Iterable[Sample],
    version: ConfigVersion,
    published_at_s: float,
) -> float:
    """Return how long some process took new work under an older version.

    Parameters
    ----------
    samples
        All samples.
    version
        What was published.
    published_at_s
        When the store had taken it, by the tool's clock.

    """
    old = (
        sample.answered_at_s - published_at_s
        for sample in samples
        if sample.version < version and sample.phase is NodePhase.READY
    )
    return max(0, *old, 0)


def falls(samples: Iterable[Sample]) -> Iterator[Sample]:
    """Yield the samples of processes whose version fell, restarts included."""
    highest: dict[NodeName, ConfigVersion] = defaultdict(lambda: NO_VERSION)
    for sample in sorted(samples, key=_by_time):
        if sample.version == NO_VERSION:
            # A process that starts has none in force.
            continue
        if sample.version < highest[sample.node]:
            yield sample
        highest[sample.node] = max(highest[sample.node], sample.version)


def _by_time(sample: Sample) -> float:
    return sample.answered_at_s
