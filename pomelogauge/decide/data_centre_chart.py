"""Names of the data centre chart."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary


class DataCentreState(StrEnum):
    """What the configuration says of a data centre."""

    IN_SERVICE = 'in_service'
    PREPARING = 'preparing'
    DRAINED = 'drained'


class DataCentreEvent(StrEnum):
    """What an operator wants of a data centre."""

    ANNOUNCE = 'announce'
    DRAIN = 'drain'
    BRING_BACK = 'bring_back'


class DataCentreAction(StrEnum):
    """No actions; the states themselves are published."""


@dataclass(frozen=True)
class DataCentreFacts:
    """What the guards of the data centre chart may ask."""

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
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
