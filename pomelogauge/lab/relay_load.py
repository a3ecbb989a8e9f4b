"""A closed load of streams, sent to engines directly or through a router."""

import json
import random
import threading
import time
from collections.abc import Iterator
from concurrent.futures import Executor, ProcessPoolExecutor
from dataclasses import dataclass
from itertools import chain
from multiprocessing import get_context

import urllib3
from returns.result import Failure, Result

from ..wire.caller_responses import CallError, ChatCompletion, read_response
from .manifests import MODEL

#: Processes that the load is sent from, as one interpreter would be a limit.
LOAD_PROCESSES = 4
_PATH = '/v1/chat/completions'
_READ_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Header:
    """One header of a request."""

    name: str
    text: str


@dataclass(frozen=True)
class Route:
    """Where the streams of a load go.

    Parameters
    ----------
    address
        Router or engine.
    headers
        Headers of each request.

    """

    address: str
    headers: tuple[Header, ...]


@dataclass(frozen=True)
class StreamsSpec:
    """What a load sends.

    Parameters
    ----------
    routes
        The streams take them in turn.
    streams
        Streams that are open at any time.
    tokens
        Tokens of each answer.
    duration_s
        No answer begins later.
    interval_s
        Time between tokens; the streams begin spread over one answer.
    seed
        Of the random source.

    """

    routes: tuple[Route, ...]
    streams: int
    tokens: int
    duration_s: float
    interval_s: float
    seed: int


@dataclass(frozen=True)
class StreamTimes:
    """Times of one answer.

    Parameters
    ----------
    first_token_s
        From the request to the first token.
    gaps_s
        Between tokens.

    """

    first_token_s: float
    gaps_s: tuple[float, ...]

    @property
    def duration_s(self) -> float:
        """From the request to the last token."""
        return self.first_token_s + sum(self.gaps_s)


@dataclass(frozen=True)
class StreamsOutcome:
    """What became of a load.

    Parameters
    ----------
    answers
        Times of the whole answers.
    failures
        Codes of the others.

    """

    answers: tuple[StreamTimes, ...]
    failures: tuple[str, ...]

    @property
    def tokens(self) -> int:
        """Tokens of the whole answers."""
        return sum(len(one.gaps_s) + 1 for one in self.answers)


def load_processes() -> ProcessPoolExecutor:
    """Return the processes that send loads; the caller shuts them down."""
    return ProcessPoolExecutor(LOAD_PROCESSES, get_context('spawn'))


def run_streams(pool: Executor, spec: StreamsSpec) -> StreamsOutcome:
    """Send a load from several processes and return what became of it."""
    parts = tuple(
        pool.submit(_run_part, spec, number) for number in range(LOAD_PROCESSES)
    )
    outcomes = [part.result() for part in parts]
    return StreamsOutcome(
        tuple(chain.from_iterable(one.answers for one in outcomes)),
        tuple(chain.from_iterable(one.failures for one in outcomes)),
    )


def _run_part(spec: StreamsSpec, part: int) -> StreamsOutcome:
    callers = [
        _Caller(spec, number)
        for number in range(part, spec.streams, LOAD_PROCESSES)
    ]
    threads = [threading.Thread(target=caller.run) for caller in callers]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return StreamsOutcome(
        tuple(chain.from_iterable(one.answers for one in callers)),
        tuple(chain.from_iterable(one.failures for one in callers)),
    )


class _Caller:
    """A thread that keeps one stream open."""

    def __init__(self, spec: StreamsSpec, number: int) -> None:
        """Own one connection."""
        self._spec = spec
        self._number = number
        self._route = spec.routes[number % len(spec.routes)]
        self._rng = random.Random(f'{spec.seed}-{number}')
        self._pool = urllib3.PoolManager(retries=False)
        self.answers: list[StreamTimes] = []
        self.failures: list[str] = []

    def run(self) -> None:
        """Ask again and again until the time is over."""
        answer_s = self._spec.tokens * self._spec.interval_s
        ends_at_s = time.monotonic() + self._spec.duration_s
        time.sleep(self._rng.random() * answer_s)
        for asked in self._numbers(ends_at_s):
            outcome = self._ask(asked)
            if isinstance(outcome, Failure):
                self.failures.append(outcome.failure().code)
            else:
                self.answers.append(_times_of(outcome.unwrap()))

    def _numbers(self, ends_at_s: float) -> Iterator[int]:
        asked = 0
        while time.monotonic() < ends_at_s:
            yield asked
            asked += 1

    def _ask(self, asked: int) -> Result[ChatCompletion, CallError]:
        begun_s = time.monotonic()
        request = f'relay-{self._number}-{asked}-{self._rng.getrandbits(48):x}'
        try:
            answer = self._pool.request(
                'POST',
                f'http://{self._route.address}{_PATH}',
                body=self._body(asked),
                headers={
                    'X-Request-Id': request,
                    **{one.name: one.text for one in self._route.headers},
                },
                timeout=_READ_TIMEOUT_S,
                preload_content=False,
            )
        except urllib3.exceptions.HTTPError as exc:
            return Failure(CallError('cut', str(exc), 'may_have_run'))
        return read_response(answer, begun_s)

    def _body(self, asked: int) -> bytes:
        prompt = f'Quote {self._number}-{asked}'
        return json.dumps(
            {
                'model': MODEL,
                'stream': True,
                'max_tokens': self._spec.tokens,
                'messages': [{'role': 'user', 'content': prompt}],
            }
        ).encode()


def _times_of(answer: ChatCompletion) -> StreamTimes:
    times_s = answer.token_times_s
    pairs = zip(times_s, times_s[1:], strict=False)
    gaps_s = tuple(after - before for before, after in pairs)
    return StreamTimes(answer.first_token_s, gaps_s)
