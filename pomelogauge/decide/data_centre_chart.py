"""Names of the data centre chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary


class DataCentreState(StrEnum):
    """Service state of a data centre in the configuration.

    ``PREPARING``: it will be drained; replicas are formed elsewhere, and
    requests still go there.
    """

    IN_SERVICE = 'in_service'
    PREPARING = 'preparing'
    DRAINED = 'drained'


class DataCentreEvent(StrEnum):
    """Commands of an operator about a data centre."""

    ANNOUNCE = 'announce'
    DRAIN = 'drain'
    BRING_BACK = 'bring_back'


class DataCentreAction(StrEnum):
    """The chart has no actions; the new state is published."""


@dataclass(frozen=True)
class DataCentreFacts:
    """The guards of the data centre chart need no facts."""

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True


DATA_CENTRE_WORDS = Vocabulary(
    DataCentreState,
    DataCentreEvent,
    DataCentreAction,
    DataCentreFacts,
)

DataCentreChart = Chart[
    DataCentreState,
    DataCentreEvent,
    DataCentreAction,
    DataCentreFacts,
]
