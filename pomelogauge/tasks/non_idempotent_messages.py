"""Messages about calls that may run at most once."""

from dataclasses import dataclass

from ..model.ids import OrganisationName, RowVersion
from ..model.intent import Intent
from ..tables.protocols import RowKey
from .mailbox import Outbox


@dataclass(frozen=True)
class OutcomeStored:
    """The row of a call says how it ended."""

    key: RowKey


@dataclass(frozen=True)
class StoreOutcome:
    """Asks to write how a call ended until the store has it.

    Parameters
    ----------
    key
        The call's row.
    version
        Version of the row as last seen; zero for none.
    outcome
        New contents of the row.
    kept
        Told once the row says so.

    """

    key: RowKey
    version: RowVersion
    outcome: Intent
    kept: Outbox[OutcomeStored] | None = None


@dataclass(frozen=True)
class KeyRequested:
    """Asks for a key that only this life of this router may run."""

    organisation: OrganisationName
    reply: Outbox[str]


@dataclass(frozen=True)
class ClaimGranted:
    """The minted key has never been used; its call may be sent now."""


@dataclass(frozen=True)
class ClaimUnknown:
    """Nothing is known of the minted key any more."""


@dataclass(frozen=True)
class ClaimRequested:
    """Asks to use a minted key.

    Parameters
    ----------
    key
        Row of the call that the key names.
    organisation, minted
        Whose key, and the key.
    intent
        The call, as it will be known while it runs.
    reply
        Gets the grant, or what an earlier request with the key has left.

    """

    key: RowKey
    organisation: OrganisationName
    minted: str
    intent: Intent
    reply: Outbox[ClaimGranted | ClaimUnknown | Intent]


@dataclass(frozen=True)
class ClaimEnded:
    """A call with a minted key has ended.

    Parameters
    ----------
    key
        Row of the call.
    outcome
        How it ended.

    """

    key: RowKey
    outcome: Intent
