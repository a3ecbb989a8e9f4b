"""Kept intents and outcomes of calls that may run at most once."""

from dataclasses import dataclass
from enum import StrEnum

from .ids import Incarnation, NodeName, RequestId


class IntentState(StrEnum):
    """What a row says about its call.

    ``INTENDED``: a router has sent it or is about to. ``RELEASED``: it surely
    did not run and may be sent again. ``UNKNOWN``: it may have run.
    ``DONE``: it ran and its answer is kept. ``RAN``: it ran and its answer
    is not kept.
    """

    INTENDED = 'intended'
    RELEASED = 'released'
    UNKNOWN = 'unknown'
    DONE = 'done'
    RAN = 'ran'


@dataclass(frozen=True)
class KeptAnswer:
    """The answer of a call that ran."""

    status: int
    body: bytes
    media_type: str


@dataclass(frozen=True)
class Intent:
    """One row of ``intents``.

    Parameters
    ----------
    request
        Request that wrote it.
    body_hash
        SHA-256 of the caller's body.
    router, incarnation
        Router that runs the call, and its life.
    state
        How far the call has come.
    written_at_s
        Wall clock of that router, seconds since 1970.
    answer
        Kept answer, with state ``DONE`` only.

    """

    request: RequestId
    body_hash: str
    router: NodeName
    incarnation: Incarnation
    state: IntentState
    written_at_s: int
    answer: KeptAnswer | None = None
