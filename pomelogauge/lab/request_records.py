"""Records of what callers and stand-ins saw of requests."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True)
class Attempt:
    """One request as its caller saw it.

    Parameters
    ----------
    exchange
        Number of the caller's wish; all its attempts share it.
    address
        Router that was asked.
    began_s, ended_s
        Monotonic times.
    code
        Empty for a whole answer; else the code of the error.
    execution
        What the error says about the run.
    request
        Identifier that the router gave; empty when none came.
    prompt, tokens, text
        Of a chat: what was asked, and what came.
    key
        Of a call: its idempotency key.

    """

    exchange: int
    address: str
    began_s: float
    ended_s: float
    code: str = ''
    execution: str = 'ran'
    request: str = ''
    prompt: str = ''
    tokens: int = 0
    text: str = ''
    key: str = ''

    @property
    def is_whole(self) -> bool:
        """Whether an answer came."""
        return not self.code


@dataclass(frozen=True)
class EngineRun:
    """A request that an engine ran, or a part of it."""

    instance: str
    request: str
    first: int
    next_index: int
    end: str


@dataclass(frozen=True)
class EngineSeen:
    """What an engine's stand-in recorded."""

    instance: str
    overfed: int
    runs: tuple[EngineRun, ...]


@dataclass(frozen=True)
class ServiceRun:
    """How often a service's stand-in ran the call of one key."""

    instance: str
    call: str
    key: str
    count: int


def engine_seen(instance: str, document: Any) -> EngineSeen:
    """Read an engine's ``/control/record``."""
    runs = tuple(
        EngineRun(
            instance,
            run['request'],
            run['first'],
            run['next'],
            run['end'],
        )
        for run in document['requests']
    )
    return EngineSeen(instance, document['overfed'], runs)


def service_runs(instance: str, document: Any) -> tuple[ServiceRun, ...]:
    """Read a service's ``/control/record``."""
    return tuple(
        ServiceRun(instance, run['call'], run['key'], run['count'])
        for run in document['runs']
    )
