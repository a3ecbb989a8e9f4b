"""How a configuration spreads."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from ..model.ids import NO_VERSION, Address, ConfigVersion
from ..model.peers import PeerView


@dataclass(frozen=True)
class SpreadSettings:
    """How a configuration spreads.

    Parameters
    ----------
    pull_interval_s
        Shortest time between two reads of the version in the store.
    reads_per_s
        Reads a second that all processes together should stay under.
    push_fan_out
        Peers to which a process pushes what it adopts.
    cut_off_after_s
        Seconds without confirmation after which no new work is taken.

    """

    pull_interval_s: float = 1.0
    reads_per_s: float = 20.0
    push_fan_out: int = 4
    cut_off_after_s: float = 2.5

    def interval_s(self, live_peers: int, unconfirmed_s: float) -> float:
        """Return the time between two reads of the version.

        Parameters
        ----------
        live_peers
            Processes that read as well.
        unconfirmed_s
            Time since the last confirmation; a process that is about to be
            cut off reads as often as it may.

        """
        if unconfirmed_s > self.cut_off_after_s * _WORRY_SHARE:
            return self.pull_interval_s
        readers = live_peers + 1
        return max(self.pull_interval_s, readers / self.reads_per_s)


def jittered_s(interval_s: float, rng: Random) -> float:
    """Return an interval up to a quarter shorter or longer."""
    return interval_s * rng.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)


def newest_version(peers: Iterable[PeerView]) -> ConfigVersion:
    """Return the highest version that a peer has in force."""
    versions = (view.report.version for view in peers)
    return max(versions, default=NO_VERSION)


def push_targets(
    peers: Iterable[PeerView],
    version: ConfigVersion,
    fan_out: int,
    rng: Random,
) -> tuple[Address, ...]:
    """Return some peers that don't report the version yet."""
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
    """Return a peer that has at least this version, if any."""
    ahead = [
        view.report.peer_address
        for view in peers
        if view.report.version >= version
    ]
    return rng.choice(ahead) if ahead else None


#: Share of the time to the cut-off after which reads are not stretched.
_WORRY_SHARE = 0.5
#: Share by which an interval varies to either side.
_JITTER_SHARE = 0.25
