"""Open-loop load: requests leave at their times, whatever has been answered."""

import queue
import random
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from returns.pipeline import is_successful
from returns.result import Result

from ..client import Client
from ..wire.caller_responses import CallError, ChatCompletion
from .manifests import MODEL, caller_key, organisation_names

#: Prefixes shared by the prompts of one organisation.
SHARED_PREFIXES = 8
#: Share of the requests that the first organisation sends.
LARGE_SHARE = 0.5
#: Seconds that late requests may take after the last arrival.
GRACE_S = 60.0
_PREFIX_WORDS = 40


@dataclass(frozen=True)
class LoadSpec:
    """What a load sends.

    Parameters
    ----------
    routers
        Seeds of the callers.
    rate_per_s
        Arrivals a second.
    duration_s
        Seconds of arrivals.
    tokens
        Tokens of each answer.
    organisations
        How many; the first sends as much as all others together.
    callers
        Threads; an arrival that finds none free waits, and the wait counts.
    seed
        Of the random source.

    """

    routers: tuple[str, ...]
    rate_per_s: float
    duration_s: float
    tokens: int = 32
    organisations: int = 10
    callers: int = 160
    seed: int = 1


@dataclass(frozen=True)
class Arrival:
    """A request that will be sent.

    Parameters
    ----------
    number
        Its number in the load.
    at_s
        Seconds after the start of the load.
    organisation
        Whose request it is.
    prompt
        What it asks.

    """

    number: int
    at_s: float
    organisation: str
    prompt: str


@dataclass(frozen=True)
class Sent:
    """What became of an arrival.

    Parameters
    ----------
    arrival
        The arrival.
    begun_s
        Seconds after the start of the load at which it was sent.
    ended_s
        Seconds after the start of the load at which it ended.
    answer
        The whole answer, or the error.

    """

    arrival: Arrival
    begun_s: float
    ended_s: float
    answer: Result[ChatCompletion, CallError]

    @property
    def served(self) -> bool:
        """Whether the whole answer came."""
        return is_successful(self.answer)

    @property
    def first_token_s(self) -> float:
        """Seconds from the planned arrival to the first token."""
        late_s = self.begun_s - self.arrival.at_s
        return late_s + self.answer.unwrap().first_token_s

    @property
    def gaps_s(self) -> tuple[float, ...]:
        """Seconds between neighbouring tokens."""
        times_s = self.answer.unwrap().token_times_s
        pairs = zip(times_s, times_s[1:], strict=False)
        return tuple(after - before for before, after in pairs)


def arrivals(spec: LoadSpec) -> Iterator[Arrival]:
    """Yield arrivals of a Poisson process, by their times."""
    rng = random.Random(spec.seed)
    names = organisation_names(spec.organisations)
    at_s = rng.expovariate(spec.rate_per_s)
    number = 0
    while at_s < spec.duration_s:
        organisation = _organisation(rng, names)
        yield Arrival(number, at_s, organisation, _prompt(rng, organisation))
        number += 1
        at_s += rng.expovariate(spec.rate_per_s)


def run_load(
    spec: LoadSpec,
    progress: Callable[[int], None] | None = None,
) -> tuple[Sent, ...]:
    """Send a load and return what became of every arrival.

    Parameters
    ----------
    spec
        The load.
    progress
        Called with the number of ended requests, now and then.

    """
    work: queue.SimpleQueue[Arrival | None] = queue.SimpleQueue()
    done: queue.SimpleQueue[Sent] = queue.SimpleQueue()
    start_s = time.monotonic()
    for _ in range(spec.callers):
        caller = _Caller(spec, start_s, work, done)
        threading.Thread(target=caller.run, daemon=True).start()
    count = _send_all(spec, start_s, work)
    for _ in range(spec.callers):
        work.put(None)
    return tuple(_collect(done, count, progress or _ignore))


def _send_all(
    spec: LoadSpec,
    start_s: float,
    work: 'queue.SimpleQueue[Arrival | None]',
) -> int:
    count = 0
    for arrival in arrivals(spec):
        wait_s = start_s + arrival.at_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
        work.put(arrival)
        count += 1
    return count


def _collect(
    done: 'queue.SimpleQueue[Sent]',
    count: int,
    progress: Callable[[int], None],
) -> Iterator[Sent]:
    for number in range(count):
        try:
            yield done.get(timeout=GRACE_S)
        except queue.Empty:
            return
        progress(number + 1)


class _Caller:
    """A thread that sends one request at a time."""

    def __init__(
        self,
        spec: LoadSpec,
        start_s: float,
        work: 'queue.SimpleQueue[Arrival | None]',
        done: 'queue.SimpleQueue[Sent]',
    ) -> None:
        """Own one client for each organisation."""
        self._spec = spec
        self._start_s = start_s
        self._work = work
        self._done = done
        self._clients = {
            name: Client(spec.routers, caller_key(name))
            for name in organisation_names(spec.organisations)
        }

    def run(self) -> None:
        """Send arrivals until there are no more."""
        while True:
            arrival = self._work.get()
            if arrival is None:
                return
            self._done.put(self._send(arrival))

    def _send(self, arrival: Arrival) -> Sent:
        begun_s = time.monotonic() - self._start_s
        client = self._clients[arrival.organisation]
        answer = client.chat(MODEL, arrival.prompt, self._spec.tokens)
        ended_s = time.monotonic() - self._start_s
        return Sent(arrival, begun_s, ended_s, answer)


def _ignore(done: int) -> None:
    """Show no progress."""


def _organisation(rng: random.Random, names: tuple[str, ...]) -> str:
    if len(names) == 1 or rng.random() < LARGE_SHARE:
        return names[0]
    return rng.choice(names[1:])


def _prompt(rng: random.Random, organisation: str) -> str:
    prefix = f'{organisation}-{rng.randrange(SHARED_PREFIXES)} '
    return f'{prefix * _PREFIX_WORDS}{rng.randrange(1 << 30)}'
