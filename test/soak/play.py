"""Plays one seed: a calm start, faults that overlap, a calm end."""

import heapq
import random
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..platform_standin import wait_for
from .clients import ONCE, Caller
from .faults import Faults
from .stage import SoakEntry, Stage
from .witness import Breach, Witness

CALLERS = 6
#: Seconds after the last fault in which all instances must serve again.
RECOVERY_S = 12.0
#: Seconds between two faults.
LEAST_PAUSE_S = 0.2
MOST_PAUSE_S = 2.0
#: Faults that last at the same time.
MOST_AT_ONCE = 4
LOOK_S = 0.05
KEPT_LOG = 4000


@dataclass(frozen=True)
class Played:
    """The outcome of one seed."""

    seed: int
    breaches: tuple[Breach, ...]
    faults: tuple[str, ...]
    counts: dict[str, int]
    logs: dict[str, str] = field(default_factory=dict)


@dataclass(order=True)
class Due:
    """A fault that is to be mended."""

    at_s: float
    number: int
    what: str = field(compare=False)
    mend: Callable[[], None] = field(compare=False)


class Soak:
    """One run."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.witness = Witness()
        self.stage = Stage(folder, seed, self.witness)
        self.faults = Faults(self.stage, self.rng)
        self.due: list[Due] = []
        self.made: list[str] = []
        self.callers: list[Caller] = []

    def play(self, seconds: float) -> Played:
        """Play; end all processes in any case."""
        try:
            self.start()
            self.disturb(seconds)
            self.recover()
        finally:
            for caller in self.callers:
                caller.stop()
            self.stage.close()
        self.witness.check_end(ONCE)
        return Played(
            self.seed,
            tuple(self.witness.breaches),
            tuple(self.made),
            self.witness.counts,
            {
                entry.name: entry.log.read_text()[-KEPT_LOG:]
                for entry in self.stage.entries
            },
        )

    def start(self) -> None:
        self.expect_service('start')
        for index in range(CALLERS):
            caller = Caller(
                f'c{index}',
                self.rng.randrange(1 << 30),
                self.stage.directories,
                lambda: list(self.stage.all_keys),
                self.witness,
            )
            self.callers.append(caller)

    def disturb(self, seconds: float) -> None:
        until_s = self.witness.now_s() + seconds
        next_s = self.witness.now_s()
        while self.witness.now_s() < until_s:
            now_s = self.witness.now_s()
            if now_s >= next_s and len(self.due) < MOST_AT_ONCE:
                self.make(now_s)
                next_s = now_s + self.rng.uniform(LEAST_PAUSE_S, MOST_PAUSE_S)
            self.mend(now_s)
            self.stage.check_alive()
            time.sleep(LOOK_S)

    def make(self, now_s: float) -> None:
        fault = self.faults.draw()
        self.made.append(f'{now_s:.1f} s {fault.what} for {fault.for_s:.1f} s')
        heapq.heappush(
            self.due,
            Due(now_s + fault.for_s, len(self.made), fault.what, fault.mend),
        )

    def mend(self, now_s: float) -> None:
        while self.due and self.due[0].at_s <= now_s:
            heapq.heappop(self.due).mend()

    def recover(self) -> None:
        """After the last fault all instances serve within the bound."""
        while self.due:
            heapq.heappop(self.due).mend()
        for entry in self.stage.entries:
            self.stage.restart(entry)
        self.expect_service('recovery')
        self.stage.check_alive()

    def expect_service(self, when: str) -> None:
        until_s = self.witness.now_s() + RECOVERY_S
        for entry in self.stage.entries:
            left_s = max(0.1, until_s - self.witness.now_s())
            if not wait_for(lambda entry=entry: self.serves(entry), left_s):
                self.witness.breach(when, f'{entry.name} does not serve')

    def serves(self, entry: SoakEntry) -> bool:
        attempt = f'probe-{entry.name}-{self.rng.random()}'
        self.witness.saw_sent(attempt, self.stage.all_keys[0])
        return entry.send_request(attempt, self.stage.all_keys[0]).status == 200


def play(seed: int, seconds: float) -> Played:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory(prefix='pomelogauge-soak-') as folder:
        return Soak(seed, Path(folder)).play(seconds)
