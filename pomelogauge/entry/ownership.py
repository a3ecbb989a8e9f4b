"""The lease on the ownership of all groups."""

from dataclasses import dataclass

from ..model.ids import Address
from ..model.store_version import ABSENT_ROW, StoreVersion

#: Terms of each era of the store begin at a multiple of this. A store that is
#: put back has lost the latest terms, which must not be given out again.
TERMS_PER_ERA = 1_000_000_000


@dataclass(frozen=True)
class OwnerLease:
    """The lease as it is stored: one row for the owner of all groups.

    Parameters
    ----------
    holder
        Node and incarnation of the owner, separated by a blank; empty where
        no instance has ever held the lease, or the holder is unknown as the
        row can't be read.
    term
        Number of the ownership. Each takeover adds one, and the first one in
        an era of the store goes beyond all terms of the era before. Zero where
        no instance has ever held the lease; no lower than the last term where
        the row can't be read.
    address
        ``host:port`` to which other instances send reports for the owner.
    version
        Row version of the lease. Every write of the owner is conditional on
        it, so a former owner can't write after a takeover.

    """

    holder: str = ''
    term: int = 0
    address: Address = Address('')
    version: StoreVersion = ABSENT_ROW


@dataclass(frozen=True)
class OwnershipStatus:
    """What one instance knows of who the owner is.

    Parameters
    ----------
    is_own
        This instance is the owner, and its lease has not expired.
    term
        Term of the owner.
    address
        ``host:port`` for reports to the owner; empty where none is known.
    renewal_version
        Row version of the newest lease renewal that this instance knows of.
    until_s
        Time of the local clock until which this instance may act as the
        owner, unless it renews the lease; in the past on other instances.

    """

    is_own: bool = False
    term: int = 0
    address: Address = Address('')
    renewal_version: StoreVersion = ABSENT_ROW
    until_s: float = float('-inf')

    def may_act(self, term: int, now_s: float) -> bool:
        """Return whether this instance may act as the owner of a term now.

        Asked right before acting: the process may have been paused since the
        status was published.
        """
        return self.is_own and self.term == term and now_s <= self.until_s
