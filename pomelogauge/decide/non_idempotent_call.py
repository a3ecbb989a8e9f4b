"""Idempotency keys and chart names of calls that may run at most once."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary
from ..model.ids import Incarnation
from ..model.intent import Intent, IntentState

#: First part of every idempotency key that a router has minted for a caller
#: that sent none. Such a key is ``minted.INCARNATION.UNIQUE``.
MINTED_PREFIX = 'minted'
_MINTED_PARTS = 3


class CallState(StrEnum):
    """States of a request for a call that may run at most once."""

    ABSENT = 'absent'
    CLAIMING = 'claiming'
    READING_ROW = 'reading_row'
    WRITING_INTENT = 'writing_intent'
    REPEATED = 'repeated'
    SENT = 'sent'
    DONE = 'done'
    RELEASED = 'released'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class CallEvent(StrEnum):
    """Events of a request for a call that may run at most once."""

    REQUESTED = 'requested'
    CLAIM_GRANTED = 'claim_granted'
    INTENT_WRITTEN = 'intent_written'
    ROW_FOUND = 'row_found'
    ROW_ABSENT = 'row_absent'
    STORE_UNAVAILABLE = 'store_unavailable'
    INTENT_INDETERMINATE = 'intent_indeterminate'
    ANSWER_RECEIVED = 'answer_received'
    CONFIRMED_NOT_RUN = 'confirmed_not_run'
    ANSWER_LOST = 'answer_lost'


class CallAction(StrEnum):
    """Actions that the chart orders from the ledger."""

    CLAIM = 'claim'
    READ_ROW = 'read_row'
    WRITE_INTENT = 'write_intent'
    CHECK_EARLIER_REQUEST = 'check_earlier_request'
    SEND = 'send'
    REPLAY_ANSWER = 'replay_answer'
    REFUSE_KEY_REUSED = 'refuse_key_reused'
    REFUSE_ALREADY_RUN = 'refuse_already_run'
    REFUSE_UNKNOWN = 'refuse_unknown'
    REFUSE_STORE_DOWN = 'refuse_store_down'
    FREE_KEY = 'free_key'
    STORE_ANSWER = 'store_answer'
    RELEASE = 'release'
    STORE_UNKNOWN = 'store_unknown'


@dataclass(frozen=True)
class CallFacts:
    """Facts on which the guards of the chart decide.

    Parameters
    ----------
    own
        Incarnation of this router process.
    key
        Idempotency key of the call, from the caller or minted.
    body_hash
        SHA-256 of the request body, in hexadecimal.
    found
        Row of an earlier request with the key; ``None`` until one is read.

    """

    own: Incarnation = Incarnation('')
    key: str = ''
    body_hash: str = ''
    found: Intent | None = None

    def is_minted_here(self) -> bool:
        """Return whether this incarnation of this router minted the key."""
        return minted_by(self.key) == self.own

    def is_minted_elsewhere(self) -> bool:
        """Return whether another router or incarnation minted the key."""
        minter = minted_by(self.key)
        return minter is not None and minter != self.own

    def is_other_body(self) -> bool:
        """Return whether the key was used with another body before."""
        return self.found is not None and self.found.body_hash != self.body_hash

    def is_released(self) -> bool:
        """Return whether the earlier request is known not to have run."""
        return self._is_in(IntentState.RELEASED)

    def is_done(self) -> bool:
        """Return whether the answer of the earlier run is stored."""
        return self._is_in(IntentState.DONE)

    def has_run(self) -> bool:
        """Return whether the call ran and its answer is not stored."""
        return self._is_in(IntentState.RAN)

    def always(self) -> bool:
        """Return true; a transition without target needs a guard or action."""
        return True

    def _is_in(self, state: IntentState) -> bool:
        return self.found is not None and self.found.state is state


CALL_WORDS = Vocabulary(CallState, CallEvent, CallAction, CallFacts)
CallChart = Chart[CallState, CallEvent, CallAction, CallFacts]


def minted_key(incarnation: Incarnation, unique: str) -> str:
    """Return a key under which only this incarnation may run a call."""
    return f'{MINTED_PREFIX}.{incarnation}.{unique}'


def minted_by(key: str) -> Incarnation | None:
    """Return the incarnation that minted a key.

    ``None`` for a key that the caller has sent.
    """
    parts = key.split('.')
    if len(parts) != _MINTED_PARTS or parts[0] != MINTED_PREFIX:
        return None
    return Incarnation(parts[1])
