"""Configuration versions that the store and the peers have reported."""

from dataclasses import dataclass, replace

from ..model.ids import NO_VERSION, ConfigVersion
from ..model.peers import PeerView
from .confirmation import Voters, confirmation_age_s
from .spread import newest_version


@dataclass(frozen=True)
class KnownVersions:
    """Reported versions, and when the own one was last confirmed.

    Adopting a version does not confirm it, as the peer that pushed it may be
    cut off as well. The version is compared with the earlier reports of the
    store and the peers.

    Parameters
    ----------
    confirmed_at_s
        Local clock when the store or a quorum of peers last reported no version
        above the one in force.
    in_force
        Version in force here; zero while there is none.
    newest
        Highest version that the store or a peer has reported.
    peers
        Live peers.
    peers_at_s
        Local clock when the live peers last changed.
    voters
        Peers that count towards the quorum.
    stored
        Version that the store reported last; ``None`` before the first read.
    stored_at_s
        Local clock before that read.

    """

    confirmed_at_s: float
    in_force: ConfigVersion = NO_VERSION
    newest: ConfigVersion = NO_VERSION
    peers: tuple[PeerView, ...] = ()
    peers_at_s: float = 0
    voters: Voters = Voters()
    stored: ConfigVersion | None = None
    stored_at_s: float = 0

    @property
    def is_behind(self) -> bool:
        """Whether a version above the one in force is known."""
        return self.newest > self.in_force

    def unconfirmed_s(self, now_s: float) -> float:
        """Return the seconds since the last confirmation."""
        return now_s - self.confirmed_at_s

    def with_version(self, version: ConfigVersion) -> 'KnownVersions':
        """Return the state after a version was reported."""
        return replace(self, newest=max(self.newest, version))

    def with_peers(
        self,
        peers: tuple[PeerView, ...],
        now_s: float,
    ) -> 'KnownVersions':
        """Return the state after the live peers have changed."""
        known = self.with_version(newest_version(peers))
        return replace(known, peers=peers, peers_at_s=now_s)._confirmed()

    def with_stored(
        self,
        version: ConfigVersion,
        asked_at_s: float,
    ) -> 'KnownVersions':
        """Return the state after a read of the version in the store."""
        known = self.with_version(version)
        return replace(
            known, stored=version, stored_at_s=asked_at_s
        )._confirmed()

    def with_adopted(self, version: ConfigVersion) -> 'KnownVersions':
        """Return the state after a version came into force."""
        known = self.with_version(version)
        return replace(known, in_force=version)._confirmed()

    def confirmed_until_s(self) -> float | None:
        """Return the last local time at which nothing newer is known to exist.

        ``None`` if a newer version is known, or if neither the store nor a
        quorum of peers has confirmed this one.
        """
        if self.is_behind:
            return None
        age_s = confirmation_age_s(self.peers, self.in_force, self.voters)
        times_s = []
        if age_s is not None:
            times_s.append(self.peers_at_s - age_s)
        if self.stored is not None:
            times_s.append(self.stored_at_s)
        return max(times_s, default=None)

    def _confirmed(self) -> 'KnownVersions':
        at_s = self.confirmed_until_s()
        if at_s is None:
            return self
        return replace(self, confirmed_at_s=max(self.confirmed_at_s, at_s))
