"""The ledger of calls that may run at most once, in the table service."""

from dataclasses import dataclass, replace
from hashlib import sha256

from returns.result import Failure, Result, Success

from ..decide.non_idempotent_call import (
    CallAction,
    CallChart,
    CallEvent,
    CallFacts,
)
from ..model.ids import ABSENT_ROW, Incarnation, NodeName, RowVersion
from ..model.intent import Intent, IntentState, KeptAnswer
from ..model.request import (
    Execution,
    Refusal,
    RefusalCode,
    ServiceRequest,
)
from ..tables.protocols import (
    Condition,
    PlatformError,
    PlatformFault,
    Row,
    TableService,
    Transaction,
    Write,
)
from ..tasks.clock import Clock
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.non_idempotent_messages import (
    ClaimEnded,
    ClaimGranted,
    ClaimRequested,
    ClaimUnknown,
    OutcomeStored,
    StoreOutcome,
)
from ..tasks.transactions import commit_with_read_back
from ..wire.intent_rows import decode_intent, encode_intent, intent_key
from .ledger import Outcome, Permit
from .protocols import ServiceAnswer

#: Seconds after which a caller may ask again what became of a call.
RETRY_S = 1.0
#: Seconds for the answer of the task that owns the minted keys.
CLAIM_TIMEOUT_S = 2.0

_UNKNOWN = 'an earlier request with this key may have run; it is not run again'
_STORE_DOWN = 'the table service does not answer, so the call was not sent'


@dataclass(frozen=True)
class LedgerSettings:
    """Settings of the ledger.

    Parameters
    ----------
    node, incarnation
        Name and life of this router.
    kept_answer_bytes
        Longest answer that is kept for a repeat.

    """

    node: NodeName
    incarnation: Incarnation
    kept_answer_bytes: int = 8192


@dataclass(frozen=True)
class LedgerParts:
    """What the ledger is made of.

    Parameters
    ----------
    cfg
        Settings.
    tables
        Table service; safe for several tasks.
    chart
        Bound chart of a call.
    minted
        Owns the keys that this router has minted.
    writer
        Writes outcomes until the store has them.
    clock
        Wall clock, for the age of rows only.

    """

    cfg: LedgerSettings
    tables: TableService
    chart: CallChart
    minted: Outbox[ClaimRequested | ClaimEnded | OutcomeStored]
    writer: Outbox[StoreOutcome]
    clock: Clock


class TableLedger:
    """Keeps each call's intent and outcome in one row."""

    def __init__(self, parts: LedgerParts) -> None:
        """Take the parts; a caller's own task runs each call."""
        self._parts = parts

    def begin(
        self,
        req: ServiceRequest,
        body: bytes,
    ) -> Result[Permit | ServiceAnswer, Refusal]:
        """Write the intent, or find what an earlier request has left."""
        return _Opening(self._parts, req, body).run()

    def finish(self, permit: Permit, outcome: Outcome) -> None:
        """Keep the outcome; the caller does not wait for its row."""
        move = self._parts.chart.step(
            permit.state, _event_of(outcome), CallFacts()
        )
        match move.action:
            case CallAction.STORE_ANSWER:
                self._keep(permit, self._kept(permit.intent, outcome.unwrap()))
            case CallAction.RELEASE:
                self._release(permit)
            case CallAction.STORE_UNKNOWN:
                self._keep(permit, _in_state(permit, IntentState.UNKNOWN))

    def _kept(self, intent: Intent, answer: ServiceAnswer) -> Intent:
        if len(answer.body) > self._parts.cfg.kept_answer_bytes:
            return replace(intent, state=IntentState.RAN)
        kept = KeptAnswer(answer.status, answer.body, answer.media_type)
        return replace(intent, state=IntentState.DONE, answer=kept)

    def _keep(self, permit: Permit, outcome: Intent) -> None:
        is_minted = permit.version == ABSENT_ROW
        if is_minted:
            self._parts.minted.post(ClaimEnded(permit.key, outcome))
        kept = self._parts.minted if is_minted else None
        self._parts.writer.post(
            StoreOutcome(permit.key, permit.version, outcome, kept)
        )

    def _release(self, permit: Permit) -> None:
        """Free the key before the caller hears that nothing was run."""
        released = _in_state(permit, IntentState.RELEASED)
        if permit.version == ABSENT_ROW:
            self._parts.minted.post(ClaimEnded(permit.key, released))
            return
        transaction = Transaction(
            f'{released.request} release',
            (Condition(permit.key, permit.version),),
            (Write(permit.key, encode_intent(released)),),
        )
        if isinstance(self._parts.tables.commit(transaction), Failure):
            self._parts.writer.post(
                StoreOutcome(permit.key, permit.version, released)
            )


class _Opening:
    """The way of one request from its arrival to a permit or an answer."""

    def __init__(
        self,
        parts: LedgerParts,
        req: ServiceRequest,
        body: bytes,
    ) -> None:
        self._parts = parts
        self._req = req
        self._key = intent_key(req)
        self._version = ABSENT_ROW
        self._tries = 0
        self._intent = Intent(
            req.request,
            sha256(body).hexdigest(),
            parts.cfg.node,
            parts.cfg.incarnation,
            IntentState.INTENDED,
            int(parts.clock.now_s()),
        )
        self._facts = CallFacts(
            parts.cfg.incarnation,
            req.idempotency_key,
            self._intent.body_hash,
        )

    def run(self) -> Result[Permit | ServiceAnswer, Refusal]:
        state = self._parts.chart.initial
        event = CallEvent.REQUESTED
        while True:
            move = self._parts.chart.step(state, event, self._facts)
            state = move.state
            match move.action:
                case CallAction.SEND:
                    return Success(
                        Permit(self._key, self._version, self._intent, state)
                    )
                case CallAction.REPLAY_ANSWER:
                    return Success(self._kept_answer())
                case _:
                    next_event = self._look(move.action)
            if next_event is None:
                return Failure(self._refusal(move.action))
            event = next_event

    def _look(self, action: CallAction | None) -> CallEvent | None:
        """Do what the chart asks; ``None`` when it asks for a refusal."""
        match action:
            case CallAction.CLAIM:
                return self._claim()
            case CallAction.READ_ROW:
                return self._read_row()
            case CallAction.WRITE_INTENT:
                return self._write_intent()
            case CallAction.CHECK_EARLIER_REQUEST:
                return CallEvent.ROW_FOUND
            case CallAction.FREE_KEY:
                self._free_key()
        return None

    def _claim(self) -> CallEvent:
        reply: Mailbox[ClaimGranted | ClaimUnknown | Intent] = Mailbox()
        self._parts.minted.post(
            ClaimRequested(
                self._key,
                self._req.organisation,
                self._req.idempotency_key,
                self._intent,
                reply,
            )
        )
        match reply.take(CLAIM_TIMEOUT_S):
            case ClaimGranted():
                return CallEvent.CLAIM_GRANTED
            case ClaimUnknown():
                return CallEvent.ROW_ABSENT
            case Intent() as found:
                return self._found(found)
        return CallEvent.STORE_UNAVAILABLE

    def _write_intent(self) -> CallEvent:
        self._tries += 1
        outcome = commit_with_read_back(
            self._parts.tables,
            Transaction(
                f'{self._req.request} intent {self._tries}',
                (Condition(self._key, self._version),),
                (Write(self._key, encode_intent(self._intent)),),
            ),
        )
        if isinstance(outcome, Success):
            self._version = outcome.unwrap().versions[0]
            return CallEvent.INTENT_WRITTEN
        return self._not_written(outcome.failure())

    def _not_written(self, error: PlatformError) -> CallEvent:
        match error.fault:
            case PlatformFault.CONFLICT:
                return self._read_row()
            case PlatformFault.UNAVAILABLE:
                return CallEvent.STORE_UNAVAILABLE
        return CallEvent.INTENT_INDETERMINATE

    def _read_row(self) -> CallEvent:
        read = self._parts.tables.read(self._key)
        if isinstance(read, Failure):
            return CallEvent.STORE_UNAVAILABLE
        row = read.unwrap()
        return CallEvent.ROW_ABSENT if row is None else self._decoded(row)

    def _decoded(self, row: Row) -> CallEvent:
        self._version = row.version
        intent = decode_intent(row)
        if isinstance(intent, Failure):
            # Nobody can tell from such a row whether the call ran.
            unreadable = replace(self._intent, state=IntentState.UNKNOWN)
            return self._found(unreadable)
        return self._found(intent.unwrap())

    def _found(self, intent: Intent) -> CallEvent:
        self._facts = replace(self._facts, found=intent)
        return CallEvent.ROW_FOUND

    def _free_key(self) -> None:
        """Have the row written in such a way that a late intent conflicts."""
        released = replace(self._intent, state=IntentState.RELEASED)
        self._parts.writer.post(
            StoreOutcome(self._key, RowVersion(self._version), released)
        )

    def _kept_answer(self) -> ServiceAnswer:
        found = self._facts.found
        if found is None or found.answer is None:
            raise ValueError(f'row {self._key.key} keeps no answer')
        kept = found.answer
        return ServiceAnswer(kept.status, kept.body, kept.media_type)

    def _refusal(self, action: CallAction | None) -> Refusal:
        match action:
            case CallAction.REFUSE_KEY_REUSED:
                message = 'the key came with another body before'
                return self._refuse(RefusalCode.KEY_REUSED, message)
            case CallAction.REFUSE_ALREADY_RUN:
                message = 'the call ran; its answer was too large to keep'
                code = RefusalCode.ANSWER_NOT_KEPT
                return self._refuse(code, message, Execution.RAN)
            case CallAction.REFUSE_UNKNOWN:
                return self._unknown()
        return self._refuse(
            RefusalCode.STORE_DOWN, _STORE_DOWN, retry_after_s=RETRY_S
        )

    def _unknown(self) -> Refusal:
        found = self._facts.found
        is_open = found is None or found.state is IntentState.INTENDED
        return self._refuse(
            RefusalCode.OUTCOME_UNKNOWN,
            _UNKNOWN,
            Execution.MAY_HAVE_RUN,
            RETRY_S if is_open else 0,
        )

    def _refuse(
        self,
        code: RefusalCode,
        message: str,
        execution: Execution = Execution.NOT_RUN,
        retry_after_s: float = 0,
    ) -> Refusal:
        request = self._req.request
        return Refusal(code, message, execution, retry_after_s, request)


def _event_of(outcome: Outcome) -> CallEvent:
    if isinstance(outcome, Success):
        return CallEvent.ANSWER_RECEIVED
    if outcome.failure().execution is Execution.NOT_RUN:
        return CallEvent.CONFIRMED_NOT_RUN
    return CallEvent.ANSWER_LOST


def _in_state(permit: Permit, state: IntentState) -> Intent:
    return replace(permit.intent, state=state)
