"""Stored intents and outcomes of calls that may run at most once."""

from dataclasses import dataclass
from enum import StrEnum

from .ids import Incarnation, NodeName, RequestId


class IntentState(StrEnum):
    """State of a call, as its row stores it.

    ``INTENDED``: a router has sent the call or is about to. ``RELEASED``: the
    call did not run and may be sent again. ``UNKNOWN``: it may have run.
    ``DONE``: it ran and its answer is stored. ``RAN``: it ran, but its answer
    was too large to store.
    """

    INTENDED = 'intended'
    RELEASED = 'released'
    UNKNOWN = 'unknown'
    DONE = 'done'
    RAN = 'ran'


@dataclass(frozen=True)
class KeptAnswer:
    """Answer of a call that ran, stored for retries with the same key."""

    status: int
    body: bytes
    media_type: str


@dataclass(frozen=True)
class Intent:
    """One row of the table ``intents``.

    Parameters
    ----------
    request
        Request that wrote the row.
    body_hash
        SHA-256 of the caller's body in hexadecimal; tells a retry from
        another call that reuses the key.
    router, incarnation
        Router that sends the call.
    state
        How far the call has come.
    written_at_s
        Wall clock of that router when the request came, in seconds since
        1970; old rows are deleted by it.
    answer
        Stored answer; set in state ``DONE`` only.

    """

    request: RequestId
    body_hash: str
    router: NodeName
    incarnation: Incarnation
    state: IntentState
    written_at_s: int
    answer: KeptAnswer | None = None
