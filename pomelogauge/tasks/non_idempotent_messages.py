"""Messages about non-idempotent calls, which run at most once."""

from dataclasses import dataclass

from ..model.ids import OrganisationName, RowVersion
from ..model.intent import Intent
from ..tables.protocols import RowKey
from .mailbox import Outbox


@dataclass(frozen=True)
class OutcomeStored:
    """The outcome of a call is stored in its row."""

    key: RowKey


@dataclass(frozen=True)
class StoreOutcome:
    """Asks to write the outcome of a call, again until the store has it.

    Parameters
    ----------
    key
        Row of the call.
    version
        Version of the row as last read; zero when there is no row.
    outcome
        New contents of the row.
    kept
        Notified once the row is written; ``None`` for nobody.

    """

    key: RowKey
    version: RowVersion
    outcome: Intent
    kept: Outbox[OutcomeStored] | None = None


@dataclass(frozen=True)
class KeyRequested:
    """Asks for a key that only this incarnation of this router may run."""

    organisation: OrganisationName
    reply: Outbox[str]


@dataclass(frozen=True)
class ClaimGranted:
    """The minted key has never been used; its call may be sent now."""


@dataclass(frozen=True)
class ClaimUnknown:
    """The minted key is unknown to this router, or known no longer."""


@dataclass(frozen=True)
class ClaimRequested:
    """Asks to use a minted key for one call.

    Parameters
    ----------
    key
        Row of the call that the key names.
    organisation, minted
        Organisation to which the key was given, and the key.
    intent
        Record of the call while it runs.
    reply
        Receives the grant, or the record of an earlier request with the same
        key.

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
        Record of the call with its outcome.

    """

    key: RowKey
    outcome: Intent
