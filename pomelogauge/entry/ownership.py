"""Who owns the groups."""

from dataclasses import dataclass

from ..model.ids import ABSENT_ROW, RowVersion


@dataclass(frozen=True)
class Tenure:
    """One holder's time as the owner of all groups.

    Parameters
    ----------
    holder
        Node and life of the owner.
    term
        Rises with every new holder.
    version
        Row version: the condition of every write of the holder.

    """

    holder: str = ''
    term: int = 0
    version: RowVersion = ABSENT_ROW
