"""What callers and back ends saw, and the promises that it breaks."""

import threading
import time
from dataclasses import dataclass

#: Seconds after which a key that was taken away is used no more.
REVOCATION_DELAY_S = 5.0
#: Delay of this machine's threads that a bound in seconds forgives.
SCHEDULING_TOLERANCE_S = 0.5


@dataclass(frozen=True)
class Run:
    """A request began to run at a back end."""

    attempt: str
    at_s: float
    worker: str


@dataclass(frozen=True)
class Violation:
    """A broken promise."""

    invariant: str
    at_s: float
    what: str

    def __str__(self) -> str:
        """Return a line for people."""
        return f'{self.invariant} at {self.at_s:.2f} s: {self.what}'


class Observer:
    """Collects sightings from all threads."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.began_s = time.monotonic()
        self.violations: list[Violation] = []
        self.runs: dict[str, list[Run]] = {}
        self.ready: dict[tuple[str, int], set[str]] = {}
        self.refused: dict[str, int] = {}
        self.revoked: dict[str, float] = {}
        self.sent: dict[str, tuple[str, float]] = {}
        self.counts: dict[str, int] = {}

    def now_s(self) -> float:
        return time.monotonic() - self.began_s

    def report_violation(self, invariant: str, what: str) -> None:
        with self.lock:
            self.violations.append(Violation(invariant, self.now_s(), what))

    def count(self, what: str) -> None:
        with self.lock:
            self.counts[what] = self.counts.get(what, 0) + 1

    def record_ready(self, group: dict, worker: str) -> None:
        """Note that a worker is ready in a group."""
        with self.lock:
            key = group['name'], group['epoch']
            self.ready.setdefault(key, set()).add(worker)

    def record_sent(self, attempt: str, key: str) -> None:
        with self.lock:
            self.sent[attempt] = key, self.now_s()

    def record_refusal(self, attempt: str, status: int) -> None:
        """Note that a caller was told that its request has not run."""
        with self.lock:
            self.refused[attempt] = status

    def record_run(self, attempt: str, worker: str) -> None:
        """Note that a request begins to run, and check that it may."""
        with self.lock:
            run = Run(attempt, self.now_s(), worker)
            self.runs.setdefault(attempt, []).append(run)
            key, sent_s = self.sent.get(attempt, ('', 0.0))
            revoked_s = self.revoked.get(key, float('inf'))
        if not key:
            self.report_violation(
                'unasked', f'{attempt} ran at {worker}, never sent'
            )
        if sent_s > revoked_s + REVOCATION_DELAY_S + SCHEDULING_TOLERANCE_S:
            self.report_violation(
                'revoked',
                f'{attempt} sent {sent_s - revoked_s:.1f} s after the loss '
                f'of its key ran at {worker}',
            )

    def revoke(self, key: str) -> None:
        with self.lock:
            self.revoked[key] = self.now_s()

    def restore(self, key: str) -> None:
        with self.lock:
            self.revoked.pop(key, None)

    def check_end(self, once_prefix: str) -> None:
        """Check what only the whole run shows."""
        with self.lock:
            runs = dict(self.runs)
            refused = dict(self.refused)
        for attempt, seen in runs.items():
            if not attempt.startswith(once_prefix):
                continue
            where = [f'{run.worker} at {run.at_s:.2f} s' for run in seen]
            if len(seen) > 1:
                self.report_violation('at most once', f'{attempt} ran {where}')
            if attempt in refused:
                self.report_violation(
                    'true refusal',
                    f'{attempt} got {refused[attempt]} and ran {where}',
                )
