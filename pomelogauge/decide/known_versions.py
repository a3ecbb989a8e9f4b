"""What a process knows of versions elsewhere."""

from dataclasses import dataclass, replace

from ..model.ids import NO_VERSION, ConfigVersion
from ..model.peers import PeerView
from .confirmation import Voters, confirmation_age_s
from .spread import newest_version


@dataclass(frozen=True)
class KnownVersions:
    """Versions elsewhere, and when the own one was last confirmed.

    A version that is adopted is not confirmed by that alone: whoever pushed
    it may be cut off as well. What the store and the peers said before is
    compared with it.

    Parameters
    ----------
    confirmed_at_s
        When the store or enough peers last named nothing newer than what
        is in force, by the own clock.
    in_force
        Version in force here; zero also while none is.
    newest
        Highest version that the store or a peer has named.
    peers
        Live peers.
    heard_at_s
        When they were told, by the own clock.
    voters
        Peers of the last instance list.
    stored
        Version that the store named last; ``None`` for never.
    stored_at_s
        Own clock before it was asked.

    """

    confirmed_at_s: float
    in_force: ConfigVersion = NO_VERSION
    newest: ConfigVersion = NO_VERSION
    peers: tuple[PeerView, ...] = ()
    heard_at_s: float = 0
    voters: Voters = Voters()
    stored: ConfigVersion | None = None
    stored_at_s: float = 0

    @property
    def is_behind(self) -> bool:
        """Return whether a newer version exists."""
        return self.newest > self.in_force

    def unconfirmed_s(self, now_s: float) -> float:
        """Return the seconds since the last confirmation."""
        return now_s - self.confirmed_at_s

    def with_version(self, version: ConfigVersion) -> 'KnownVersions':
        """Return this after a version was named."""
        return replace(self, newest=max(self.newest, version))

    def with_peers(
        self,
        peers: tuple[PeerView, ...],
        now_s: float,
    ) -> 'KnownVersions':
        """Return this with other live peers."""
        named = self.with_version(newest_version(peers))
        return replace(named, peers=peers, heard_at_s=now_s)._renewed()

    def with_stored(
        self,
        version: ConfigVersion,
        asked_at_s: float,
    ) -> 'KnownVersions':
        """Return this after the store named its version."""
        named = self.with_version(version)
        return replace(named, stored=version, stored_at_s=asked_at_s)._renewed()

    def with_adopted(self, version: ConfigVersion) -> 'KnownVersions':
        """Return this after a version came into force."""
        named = self.with_version(version)
        return replace(named, in_force=version)._renewed()

    def confirmed_until_s(self) -> float | None:
        """Return until when nothing newer is known to have existed."""
        if self.is_behind:
            return None
        age_s = confirmation_age_s(self.peers, self.in_force, self.voters)
        times_s = []
        if age_s is not None:
            times_s.append(self.heard_at_s - age_s)
        if self.stored is not None:
            times_s.append(self.stored_at_s)
        return max(times_s, default=None)

    def _renewed(self) -> 'KnownVersions':
        at_s = self.confirmed_until_s()
        if at_s is None:
            return self
        return replace(self, confirmed_at_s=max(self.confirmed_at_s, at_s))
