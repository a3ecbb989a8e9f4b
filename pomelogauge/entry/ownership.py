"""Who owns the groups."""

from dataclasses import dataclass

from ..model.ids import ABSENT_ROW, Address, RowVersion


@dataclass(frozen=True)
class OwnerLease:
    """One holder's time as the owner of all groups.

    Parameters
    ----------
    holder
        Node and life of the owner.
    term
        Rises with every new holder.
    address
        ``host:port`` for reports to the holder.
    version
        Row version: the condition of every write of the holder.

    """

    holder: str = ''
    term: int = 0
    address: Address = Address('')
    version: RowVersion = ABSENT_ROW


@dataclass(frozen=True)
class OwnershipStatus:
    """Who owns the groups, as one instance knows it.

    Parameters
    ----------
    is_own
        This instance is the owner, and its last renewal is young enough.
    term
        Term of the owner.
    address
        ``host:port`` for reports to it; empty where none is known.
    renewal_version
        Row version of the last renewal, where it is own.

    """

    is_own: bool = False
    term: int = 0
    address: Address = Address('')
    renewal_version: RowVersion = ABSENT_ROW
