"""Decides when a configuration is read, and to whom it is pushed."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..model.ids import NO_VERSION, Address, ConfigVersion
from ..model.peers import PeerView


@dataclass(frozen=True)
class SpreadSettings:
    """Periods and fan-out of the spread of a configuration.

    Parameters
    ----------
    pull_interval_s
        Least seconds between two reads of the version in the store.
    reads_per_s
        Most reads per second by all processes together.
    push_fan_out
        Peers to which a process pushes a version that it adopts.
    cut_off_after_s
        Seconds without confirmation after which a process takes no new
        requests.

    """

    pull_interval_s: float = 1.0
    reads_per_s: float = 20.0
    push_fan_out: int = 4
    cut_off_after_s: float = 2.5

    def interval_s(self, live_peers: int, unconfirmed_s: float) -> float:
        """Return the seconds between two reads of the version in the store.

        Parameters
        ----------
        live_peers
            Other processes that read the version as well.
        unconfirmed_s
            Seconds since the last confirmation. A process that will soon be
            cut off reads at the shortest interval.

        """
        if unconfirmed_s > self.cut_off_after_s * _FAST_READ_SHARE:
            return self.pull_interval_s
        readers = live_peers + 1
        return max(self.pull_interval_s, readers / self.reads_per_s)


def jittered_s(interval_s: float, rng: Random) -> float:
    """Return an interval made shorter or longer at random by up to 25 %."""
    return interval_s * rng.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)


def newest_version(peers: Iterable[PeerView]) -> ConfigVersion:
    """Return the highest version in force at a peer; zero without peers."""
    versions = (view.report.version for view in peers)
    return max(versions, default=NO_VERSION)


def push_targets(
    peers: Iterable[PeerView],
    version: ConfigVersion,
    fan_out: int,
    rng: Random,
) -> tuple[Address, ...]:
    """Return the addresses of random peers that report a lower version.

    At most ``fan_out`` of them.
    """
    behind = [
        view.report.peer_address
        for view in peers
        if view.report.version < version
    ]
    return tuple(rng.sample(behind, min(fan_out, len(behind))))


def pick_source(
    peers: Iterable[PeerView],
    version: ConfigVersion,
    rng: Random,
) -> Address | None:
    """Return the address of a random peer that has at least this version.

    ``None`` if no peer reports it.
    """
    ahead = [
        view.report.peer_address
        for view in peers
        if view.report.version >= version
    ]
    return rng.choice(ahead) if ahead else None


#: Share of ``cut_off_after_s`` without confirmation, after which the version is
#: read at the shortest interval however many processes there are.
_FAST_READ_SHARE = 0.5
#: Largest change of an interval by jitter, as a share of it.
_JITTER_SHARE = 0.25
