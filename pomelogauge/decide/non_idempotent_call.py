"""Decisions about calls that may run at most once."""

from dataclasses import dataclass
from enum import StrEnum

from ..model.chart import Chart, Vocabulary
from ..model.ids import Incarnation
from ..model.intent import Intent, IntentState

#: Start of every key that a router has minted.
MINTED_PREFIX = 'minted'
_MINTED_PARTS = 3


class CallState(StrEnum):
    """States of a request for a call that may run at most once."""

    ABSENT = 'absent'
    CLAIMING = 'claiming'
    READING_ROW = 'looking'
    WRITING_INTENT = 'intending'
    REPEATED = 'repeated'
    SENT = 'sent'
    DONE = 'done'
    RELEASED = 'released'
    UNKNOWN = 'unknown'
    REFUSED = 'refused'


class CallEvent(StrEnum):
    """What can happen to such a request."""

    REQUESTED = 'asked'
    CLAIM_GRANTED = 'claim_granted'
    INTENT_WRITTEN = 'intent_written'
    ROW_FOUND = 'row_found'
    ROW_ABSENT = 'row_absent'
    STORE_UNAVAILABLE = 'store_unavailable'
    INTENT_INDETERMINATE = 'intent_unsettled'
    ANSWER_RECEIVED = 'answer_came'
    CONFIRMED_NOT_RUN = 'surely_not_run'
    ANSWER_LOST = 'answer_lost'


class CallAction(StrEnum):
    """What the ledger has to do."""

    CLAIM = 'claim'
    READ_ROW = 'read_row'
    WRITE_INTENT = 'write_intent'
    CHECK_EARLIER_REQUEST = 'judge_repeat'
    SEND = 'send'
    REPLAY_ANSWER = 'answer_kept'
    REFUSE_KEY_REUSED = 'refuse_key_reused'
    REFUSE_ALREADY_RUN = 'refuse_ran'
    REFUSE_UNKNOWN = 'refuse_unknown'
    REFUSE_STORE_DOWN = 'refuse_store_down'
    FREE_KEY = 'free_key'
    STORE_ANSWER = 'keep_answer'
    RELEASE = 'release'
    STORE_UNKNOWN = 'keep_unknown'


@dataclass(frozen=True)
class CallFacts:
    """What the guards of the chart may ask.

    Parameters
    ----------
    own
        Life of this router.
    key
        Idempotency key of the call.
    body_hash
        SHA-256 of the caller's body.
    found
        What an earlier request with the key has left.

    """

    own: Incarnation = Incarnation('')
    key: str = ''
    body_hash: str = ''
    found: Intent | None = None

    def is_minted_here(self) -> bool:
        """Return whether this life of this router minted the key."""
        return minted_by(self.key) == self.own

    def is_minted_elsewhere(self) -> bool:
        """Return whether another router or life minted the key."""
        minter = minted_by(self.key)
        return minter is not None and minter != self.own

    def is_other_body(self) -> bool:
        """Return whether the key came with another body before."""
        return self.found is not None and self.found.body_hash != self.body_hash

    def is_released(self) -> bool:
        """Return whether the earlier request surely did not run."""
        return self._is_in(IntentState.RELEASED)

    def is_done(self) -> bool:
        """Return whether the answer of the earlier run is kept."""
        return self._is_in(IntentState.DONE)

    def is_ran(self) -> bool:
        """Return whether it ran and its answer is not kept."""
        return self._is_in(IntentState.RAN)

    def always(self) -> bool:
        """Return true; an internal transition needs a guard or an action."""
        return True

    def _is_in(self, state: IntentState) -> bool:
        return self.found is not None and self.found.state is state


CALL_WORDS = Vocabulary(CallState, CallEvent, CallAction, CallFacts)
CallChart = Chart[CallState, CallEvent, CallAction, CallFacts]


def minted_key(incarnation: Incarnation, unique: str) -> str:
    """Return a key that only one life of a router may run."""
    return f'{MINTED_PREFIX}.{incarnation}.{unique}'


def minted_by(key: str) -> Incarnation | None:
    """Return the life that minted a key; ``None`` for a caller's own."""
    parts = key.split('.')
    if len(parts) != _MINTED_PARTS or parts[0] != MINTED_PREFIX:
        return None
    return Incarnation(parts[1])
