"""Keys that only this life of this router may run, and their calls."""

import uuid
from dataclasses import dataclass, replace

from ..decide.non_idempotent_call import minted_key
from ..model.ids import Incarnation, OrganisationName
from ..model.intent import Intent, IntentState
from ..tables.protocols import RowKey
from .non_idempotent_messages import (
    ClaimEnded,
    ClaimGranted,
    ClaimRequested,
    ClaimUnknown,
    KeyRequested,
    OutcomeStored,
)

#: Keys that wait for their call; the oldest are forgotten first.
UNUSED_LIMIT = 20_000

MintedMessage = KeyRequested | ClaimRequested | ClaimEnded | OutcomeStored


@dataclass(frozen=True)
class _Minted:
    """A key and whose it is."""

    organisation: OrganisationName
    key: str


@dataclass(frozen=True)
class _Claimed:
    """A used key and what is known of its call."""

    minted: _Minted
    intent: Intent


class MintedKeys:
    """Grants each minted key to one request.

    A call is forgotten once its row is written; its key is then unknown here
    and never granted again.

    Parameters
    ----------
    incarnation
        Life of this router.
    unused_limit
        Most keys that wait for their call.

    """

    def __init__(
        self,
        incarnation: Incarnation,
        unused_limit: int = UNUSED_LIMIT,
    ) -> None:
        """Have minted nothing."""
        self._incarnation = incarnation
        self._unused_limit = unused_limit
        # A dictionary keeps the order in which the keys were minted.
        self._unused: dict[_Minted, None] = {}
        self._claimed: dict[RowKey, _Claimed] = {}

    def on_start(self) -> None:
        """Own nothing that must be opened."""

    def on_message(self, message: MintedMessage) -> None:
        """Take one message."""
        match message:
            case KeyRequested():
                message.reply.post(self._mint(message.organisation))
            case ClaimRequested():
                message.reply.post(self._claim(message))
            case ClaimEnded():
                self._end(message)
            case OutcomeStored():
                self._claimed.pop(message.key, None)

    def on_timer(self) -> float | None:
        """Wait for messages only."""
        return None

    def on_stop(self) -> None:
        """Own nothing that must be closed."""

    def _mint(self, organisation: OrganisationName) -> str:
        key = minted_key(self._incarnation, uuid.uuid4().hex)
        if len(self._unused) >= self._unused_limit:
            self._unused.pop(next(iter(self._unused)))
        self._unused[_Minted(organisation, key)] = None
        return key

    def _claim(
        self, asked: ClaimRequested
    ) -> ClaimGranted | ClaimUnknown | Intent:
        claimed = self._claimed.get(asked.key)
        if claimed:
            return claimed.intent
        minted = _Minted(asked.organisation, asked.minted)
        if minted not in self._unused:
            return ClaimUnknown()
        self._unused.pop(minted)
        self._claimed[asked.key] = _Claimed(minted, asked.intent)
        return ClaimGranted()

    def _end(self, ended: ClaimEnded) -> None:
        claimed = self._claimed.get(ended.key)
        if claimed is None:
            return
        if ended.outcome.state is IntentState.RELEASED:
            self._claimed.pop(ended.key)
            self._unused[claimed.minted] = None
        else:
            self._claimed[ended.key] = replace(claimed, intent=ended.outcome)
