"""Checkers of the promises to callers, over records of one run."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..standins.tokens import messages_digest, token_of
from .request_records import Attempt, EngineSeen, ServiceRun


@dataclass(frozen=True)
class Evidence:
    """All records of one run."""

    attempts: tuple[Attempt, ...] = ()
    engines: tuple[EngineSeen, ...] = ()
    services: tuple[ServiceRun, ...] = ()
    #: Calls that may be repeated and are not counted.
    idempotent: frozenset[str] = field(default_factory=frozenset)


@dataclass(frozen=True)
class Breach:
    """A broken promise and what shows it."""

    promise: str
    shown_by: str

    def __str__(self) -> str:
        """Render as one line."""
        return f'{self.promise}: {self.shown_by}'


def check_requests(evidence: Evidence) -> tuple[Breach, ...]:
    """Run all checkers."""
    return (
        *own_answer(evidence.attempts),
        *whole_answer(evidence.attempts),
        *at_most_once(evidence),
        *cap_of_cold_targets(evidence.engines),
        *true_refusal(evidence),
    )


def own_answer(attempts: Iterable[Attempt]) -> Iterator[Breach]:
    """Each answer begins with the tokens of its own prompt."""
    for attempt in _answers(attempts):
        wanted = _tokens(attempt.prompt, attempt.tokens)
        if attempt.text[: len(wanted[0])] != wanted[0]:
            yield Breach('own answer', _name(attempt))


def whole_answer(attempts: Iterable[Attempt]) -> Iterator[Breach]:
    """Each answer has all tokens of its prompt once and in order."""
    for attempt in _answers(attempts):
        if attempt.text != ''.join(_tokens(attempt.prompt, attempt.tokens)):
            yield Breach('whole answer', _name(attempt))


def at_most_once(evidence: Evidence) -> Iterator[Breach]:
    """No key of a call that may not be repeated ran twice."""
    for key, count in _runs_by_key(evidence).items():
        if count > 1:
            yield Breach('at most once', f'{key} ran {count} times')


def cap_of_cold_targets(engines: Iterable[EngineSeen]) -> Iterator[Breach]:
    """No engine was sent more than it could bear."""
    for engine in engines:
        if engine.overfed:
            said = f'{engine.instance} was overfed {engine.overfed} times'
            yield Breach('cap of a cold target', said)


def true_refusal(evidence: Evidence) -> Iterator[Breach]:
    """Refusals as not run are of what ran nowhere; answers of what ran."""
    ran = {run.request for one in evidence.engines for run in one.runs}
    for attempt in evidence.attempts:
        is_not_run = attempt.execution == 'not_run'
        if is_not_run and attempt.request in ran:
            yield Breach('true refusal', f'{_name(attempt)} ran')
    by_key = _runs_by_key(evidence)
    for key, attempts in _attempts_by_key(evidence.attempts).items():
        runs = by_key[key]
        if runs and all(one.execution == 'not_run' for one in attempts):
            yield Breach('true refusal', f'call {key} ran')
        if not runs and any(one.is_whole for one in attempts):
            yield Breach('true answer', f'call {key} did not run')


def _answers(attempts: Iterable[Attempt]) -> Iterator[Attempt]:
    for attempt in attempts:
        if attempt.prompt and attempt.is_whole:
            yield attempt


def _tokens(prompt: str, count: int) -> tuple[str, ...]:
    digest = messages_digest([{'role': 'user', 'content': prompt}])
    return tuple(token_of(digest, index) for index in range(count))


def _runs_by_key(evidence: Evidence) -> Counter[str]:
    counts: Counter[str] = Counter()
    for run in evidence.services:
        if run.call not in evidence.idempotent:
            counts[run.key] += run.count
    return counts


def _attempts_by_key(
    attempts: Iterable[Attempt],
) -> dict[str, list[Attempt]]:
    by_key: dict[str, list[Attempt]] = {}
    for attempt in attempts:
        if attempt.key:
            by_key.setdefault(attempt.key, []).append(attempt)
    return by_key


def _name(attempt: Attempt) -> str:
    return f'{attempt.request or attempt.exchange} at {attempt.address}'
