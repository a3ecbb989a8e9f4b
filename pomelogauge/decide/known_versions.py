"""What a process knows of versions elsewhere."""

from dataclasses import dataclass, replace

from ..model.ids import NO_VERSION, ConfigVersion
from ..model.peers import PeerView
from .confirmation import Voters, confirmation_age_s
from .spread import newest_version


@dataclass(frozen=True)
class KnownVersions:
    """Versions elsewhere, and when the own one was last confirmed.

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
    voters
        Peers of the last instance list.

    """

    confirmed_at_s: float
    in_force: ConfigVersion = NO_VERSION
    newest: ConfigVersion = NO_VERSION
    peers: tuple[PeerView, ...] = ()
    voters: Voters = Voters()

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

    def with_peers(self, peers: tuple[PeerView, ...]) -> 'KnownVersions':
        """Return this with other live peers."""
        return replace(self.with_version(newest_version(peers)), peers=peers)

    def with_adopted(
        self,
        version: ConfigVersion,
        now_s: float,
    ) -> 'KnownVersions':
        """Return this after a version came into force."""
        adopted = replace(self.with_version(version), in_force=version)
        return adopted if adopted.is_behind else adopted.with_time(now_s)

    def with_time(self, at_s: float) -> 'KnownVersions':
        """Return this confirmed at a time."""
        return replace(self, confirmed_at_s=max(self.confirmed_at_s, at_s))

    def peer_confirmed_at_s(self, now_s: float) -> float | None:
        """Return when enough peers last confirmed the version in force."""
        age_s = confirmation_age_s(self.peers, self.in_force, self.voters)
        return None if age_s is None else now_s - age_s
