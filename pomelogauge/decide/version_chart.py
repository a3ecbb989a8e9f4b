"""Names of the settings version chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary
from ..model.ids import NO_VERSION, ConfigVersion


class VersionState(StrEnum):
    """State of the configuration in force.

    ``CUT_OFF``: it has not been confirmed in time, so that the process takes
    no new work.
    """

    UNKNOWN = 'unknown'
    IN_FORCE = 'in_force'
    CUT_OFF = 'cut_off'


class VersionEvent(StrEnum):
    """Events of the configuration in force.

    ``OFFERED``: the store or a peer has sent a document.
    """

    OFFERED = 'offered'
    CONFIRMED = 'confirmed'
    CONFIRMATION_EXPIRED = 'confirmation_expired'


class VersionAction(StrEnum):
    """Actions that the chart orders from the configuration keeper."""

    ADOPT = 'adopt'
    ADOPT_AND_SERVE = 'adopt_and_serve'
    SERVE = 'serve'
    STOP_SERVING = 'stop_serving'


@dataclass(frozen=True)
class VersionFacts:
    """Facts on which the guards of the settings version chart decide.

    Parameters
    ----------
    in_force
        Version in force; zero while there is none.
    newest
        Highest version that the store or a peer has reported.
    offered
        Version of the document that was offered.

    """

    in_force: ConfigVersion = NO_VERSION
    newest: ConfigVersion = NO_VERSION
    offered: ConfigVersion = NO_VERSION

    def is_newest(self) -> bool:
        """Return whether no version above the offered one is known."""
        return self.offered >= self.newest

    def is_newer(self) -> bool:
        """Return whether the offered version is above the one in force."""
        return self.offered > self.in_force

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


VERSION_WORDS = Vocabulary(
    VersionState, VersionEvent, VersionAction, VersionFacts
)

VersionChart = Chart[VersionState, VersionEvent, VersionAction, VersionFacts]
