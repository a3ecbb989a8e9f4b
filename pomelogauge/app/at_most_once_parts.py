"""Wires the bookkeeping of calls that may run at most once."""

from dataclasses import dataclass

from ..charts.reader import load_chart
from ..decide.non_idempotent_call import CALL_WORDS
from ..services.ledger import AtMostOnceLedger
from ..services.table_ledger import (
    LedgerParts,
    LedgerSettings,
    TableLedger,
)
from ..tasks.clock import MonotonicClock, WallClock
from ..tasks.intent_sweeper import IntentSweeper, SweepSettings
from ..tasks.minted_keys import MintedKeys, MintedMessage
from ..tasks.outcome_writer import OutcomeWriter, WriterSettings
from ..tasks.task import Task
from ..tasks.transactions import TransactionNames
from .identity import Identity
from .peer_parts import PeerWiring
from .task_set import TaskSet


@dataclass(frozen=True)
class AtMostOnceParts:
    """The ledger, and the task that mints keys."""

    ledger: AtMostOnceLedger
    minted: Task[MintedMessage]


def wire_at_most_once(
    identity: Identity,
    tasks: TaskSet,
    wiring: PeerWiring,
) -> AtMostOnceParts:
    """Make the ledger and its tasks."""
    minted = tasks.add('minted keys', MintedKeys(identity.incarnation))
    writer = tasks.add(
        'outcomes',
        OutcomeWriter(
            WriterSettings(),
            wiring.platform(),
            MonotonicClock(),
            identity.rng('outcomes'),
        ),
    )
    tasks.add('sweep', _sweeper(identity, wiring))
    ledger = TableLedger(
        LedgerParts(
            LedgerSettings(identity.cfg.node, identity.incarnation),
            wiring.platform(),
            load_chart('non_idempotent_call', CALL_WORDS),
            minted,
            writer,
            WallClock(),
        )
    )
    return AtMostOnceParts(ledger, minted)


def _sweeper(identity: Identity, wiring: PeerWiring) -> IntentSweeper:
    return IntentSweeper(
        SweepSettings(),
        wiring.platform(),
        TransactionNames(identity.cfg.node, identity.incarnation),
        WallClock(),
        identity.rng('sweep'),
    )
