"""Names of the settings version chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary
from ..model.ids import NO_VERSION, ConfigVersion


class VersionState(StrEnum):
    """What a process has in force."""

    UNKNOWN = 'unknown'
    IN_FORCE = 'in_force'
    CUT_OFF = 'cut_off'


class VersionEvent(StrEnum):
    """What can happen to the configuration in force."""

    OFFERED = 'offered'
    CONFIRMED = 'confirmed'
    CONFIRMATION_EXPIRED = 'silent'


class VersionAction(StrEnum):
    """What the configuration keeper has to do."""

    ADOPT = 'adopt'
    ADOPT_AND_SERVE = 'adopt_and_serve'
    SERVE = 'serve'
    STOP_SERVING = 'stop_serving'


@dataclass(frozen=True)
class VersionFacts:
    """What the guards of the settings version chart may ask.

    Parameters
    ----------
    in_force
        Version in force; zero also while none is.
    newest
        Highest version that the store or a peer has named.
    offered
        Version of the document at hand.

    """

    in_force: ConfigVersion = NO_VERSION
    newest: ConfigVersion = NO_VERSION
    offered: ConfigVersion = NO_VERSION

    def is_newest(self) -> bool:
        """Return whether nothing newer than the offer is known."""
        return self.offered >= self.newest

    def is_newer(self) -> bool:
        """Return whether the offer is newer than what is in force."""
        return self.offered > self.in_force

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True


VERSION_WORDS = Vocabulary(
    VersionState, VersionEvent, VersionAction, VersionFacts
)

VersionChart = Chart[VersionState, VersionEvent, VersionAction, VersionFacts]
