"""Idempotency keys that only this incarnation of this router may run."""

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

#: Most keys without a call; beyond it the oldest is dropped.
MAX_UNUSED_KEYS = 20_000

MintedMessage = KeyRequested | ClaimRequested | ClaimEnded | OutcomeStored


@dataclass(frozen=True)
class _Minted:
    """A key and the organisation to which it was given."""

    organisation: OrganisationName
    key: str


@dataclass(frozen=True)
class _Claimed:
    """A used key and the record of its call."""

    minted: _Minted
    intent: Intent


class MintedKeys:
    """Grants each minted key to one request only.

    A call is dropped once its row is stored. Its key is then unknown here,
    so that it is never granted again.

    Parameters
    ----------
    incarnation
        Incarnation of this router, part of each key.
    unused_limit
        Most keys without a call; the oldest one is dropped for a new one.

    """

    def __init__(
        self,
        incarnation: Incarnation,
        unused_limit: int = MAX_UNUSED_KEYS,
    ) -> None:
        """Start without keys."""
        self._incarnation = incarnation
        self._unused_limit = unused_limit
        # A dictionary keeps the order in which the keys were minted.
        self._unused: dict[_Minted, None] = {}
        self._claimed: dict[RowKey, _Claimed] = {}

    def on_start(self) -> None:
        """Do nothing, as nothing has to be opened."""

    def on_message(self, message: MintedMessage) -> None:
        """Handle one message."""
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
        """Return ``None``, as only messages bring work."""
        return None

    def on_stop(self) -> None:
        """Do nothing, as nothing has to be closed."""

    def _mint(self, organisation: OrganisationName) -> str:
        key = minted_key(self._incarnation, uuid.uuid4().hex)
        if len(self._unused) >= self._unused_limit:
            self._unused.pop(next(iter(self._unused)))
        self._unused[_Minted(organisation, key)] = None
        return key

    def _claim(
        self, requested: ClaimRequested
    ) -> ClaimGranted | ClaimUnknown | Intent:
        claimed = self._claimed.get(requested.key)
        if claimed:
            return claimed.intent
        minted = _Minted(requested.organisation, requested.minted)
        if minted not in self._unused:
            return ClaimUnknown()
        self._unused.pop(minted)
        self._claimed[requested.key] = _Claimed(minted, requested.intent)
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
