"""A steady load of chats and bookings whose every attempt is recorded."""

import queue
import random
import threading
import time
from dataclasses import dataclass, replace

from returns.result import Failure, Result

from ..client import Client, ObservedExchange
from ..model.ids import Address
from ..model.topology import InstanceRole
from ..wire.caller_responses import CallError, ChatCompletion
from .cluster import Cluster
from .manifests import MODEL, caller_key, organisation_names
from .request_records import Attempt

#: Tokens of each answer.
TOKENS = 12
#: Share of chats; the rest are bookings.
CHAT_SHARE = 0.7
#: Share of the bookings whose caller brings its own key.
OWN_KEY_SHARE = 0.5
#: Repeats of a booking that may have run.
REPEATS = 3
#: Requests after which a caller starts anew, with routers of that time.
REQUESTS_OF_A_CALLER = 20


@dataclass(frozen=True)
class FaultLoad:
    """What the callers send.

    Parameters
    ----------
    callers
        Threads.
    rate_per_s
        Requests a second of all callers together.
    seed
        Of the random sources.

    """

    callers: int = 12
    rate_per_s: float = 24
    seed: int = 1


@dataclass(frozen=True)
class Wish:
    """The end of one caller's wish, after all its attempts."""

    number: int
    kind: str
    seconds: float
    code: str
    execution: str


class Callers:
    """Threads that send until they are told to stop."""

    def __init__(self, load: FaultLoad, cluster: Cluster) -> None:
        """Send nothing yet."""
        self._load = load
        self._cluster = cluster
        self.service = cluster.spec.service
        self._stopping = threading.Event()
        self.attempts: queue.SimpleQueue[Attempt] = queue.SimpleQueue()
        self.wishes: queue.SimpleQueue[Wish] = queue.SimpleQueue()
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(load.callers)
        ]

    def start(self) -> None:
        """Start all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self, limit_s: float) -> int:
        """Let all callers end; return how many did not."""
        self._stopping.set()
        give_up_s = time.monotonic() + limit_s
        for thread in self._threads:
            thread.join(max(give_up_s - time.monotonic(), 0))
        return sum(caller.is_alive() for caller in self._threads)

    def routers(self) -> tuple[Address, ...]:
        """Return the routers of this moment."""
        return self._cluster.addresses(InstanceRole.ROUTER)

    def _run(self, number: int) -> None:
        rng = random.Random(f'{self._load.seed} {number}')
        pause_s = self._load.callers / self._load.rate_per_s
        caller = _Caller(self, rng, number)
        while not self._stopping.wait(rng.uniform(0, 2 * pause_s)):
            caller.send_one()


class _Caller:
    """One caller's thread."""

    def __init__(
        self,
        callers: Callers,
        rng: random.Random,
        number: int,
    ) -> None:
        self._callers = callers
        self._rng = rng
        self._names = organisation_names(2)
        self._number = number * 1_000_000
        self._prompt = ''
        self._client: Client | None = None

    def send_one(self) -> None:
        if self._client is None or not self._number % REQUESTS_OF_A_CALLER:
            key = caller_key(self._rng.choice(self._names))
            self._client = Client(
                self._callers.routers(), key, observe=self._observe
            )
        self._number += 1
        begun_s = time.monotonic()
        if self._rng.random() < CHAT_SHARE:
            self._end('chat', begun_s, self._chat(self._client))
        else:
            self._end('book', begun_s, self._book(self._client))

    def _chat(self, client: Client) -> Result[ChatCompletion, CallError]:
        self._prompt = f'shoe {self._number} {self._rng.random()}'
        return client.chat(MODEL, self._prompt, TOKENS)

    def _book(self, client: Client) -> Result[object, CallError]:
        self._prompt = ''
        key = ''
        if self._rng.random() < OWN_KEY_SHARE:
            key = f'own-{self._number}-{self._rng.random()}'
        service = self._callers.service
        outcome = client.call(service, 'book', {'shoe': self._number}, key)
        for _ in range(REPEATS):
            if not key or not isinstance(outcome, Failure):
                break
            outcome = client.call(service, 'book', {'shoe': self._number}, key)
        return outcome

    def _observe(self, seen: ObservedExchange) -> None:
        attempt = Attempt(
            self._number,
            seen.address,
            seen.begun_s,
            time.monotonic(),
            prompt=self._prompt,
            key=seen.key,
        )
        self._callers.attempts.put(_ended(attempt, seen.outcome))

    def _end(
        self,
        kind: str,
        begun_s: float,
        outcome: Result[object, CallError],
    ) -> None:
        code, execution = '', 'ran'
        if isinstance(outcome, Failure):
            error: CallError = outcome.failure()
            code, execution = error.code, error.execution
        seconds = time.monotonic() - begun_s
        self._callers.wishes.put(
            Wish(self._number, kind, seconds, code, execution)
        )


def _ended(attempt: Attempt, outcome: Result[object, CallError]) -> Attempt:
    if isinstance(outcome, Failure):
        error: CallError = outcome.failure()
        return replace(
            attempt,
            code=error.code,
            execution=error.execution,
            request=error.request,
        )
    answer = outcome.unwrap()
    if not isinstance(answer, ChatCompletion):
        return attempt
    return replace(
        attempt, request=answer.request, text=answer.text, tokens=TOKENS
    )
