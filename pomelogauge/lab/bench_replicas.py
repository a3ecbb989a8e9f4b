"""Measures replicas after losses, and the store's load, over real processes."""

import json
import tempfile
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from pathlib import Path

from .bench_downtime import Summary, measure_downtime, summarise
from .bench_store import StoreLoad, measure_store

#: Losses of one member in a default run, half of them by a kill.
LOSSES = 4
#: Numbers of controllers whose load on the platform is compared.
CONTROLLERS = (2, 4)


@dataclass(frozen=True)
class ReplicasReport:
    """Outcome of one run.

    Parameters
    ----------
    downtimes
        By manner of loss.
    store
        By number of controllers.
    seconds
        Length of the run.

    """

    downtimes: tuple[Summary, ...]
    store: tuple[StoreLoad, ...]
    seconds: float

    def __str__(self) -> str:
        """Render as one line."""
        parts = (*self._losses(), *self._loads(), f'{self.seconds:.0f} s')
        return f'replicas: {"; ".join(parts)}'

    def _losses(self) -> Iterator[str]:
        for one in self.downtimes:
            yield (
                f'{one.manner} out for {one.total_s:.2f} s, '
                f'noticed in {one.noticing_s:.2f} s'
            )

    def _loads(self) -> Iterator[str]:
        for load in self.store:
            yield (
                f'{load.controllers} controllers {load.writes_s:.1f} writes '
                f'and {load.reads_s:.1f} reads a second'
            )


def measure_replicas(
    losses: int = LOSSES,
    controllers: tuple[int, ...] = CONTROLLERS,
) -> ReplicasReport:
    """Start stand-ins and daemons, lose members, and end all processes.

    Parameters
    ----------
    losses
        Members lost one after another.
    controllers
        Numbers of controllers to compare.

    Raises
    ------
    UserError
        A process did not start, or a replica did not come back.

    """
    begun_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='pomelogauge-') as name:
        folder = Path(name)
        downtimes = measure_downtime(losses, folder / 'downtime')
        store = measure_store(controllers, folder / 'store')
    seconds = time.monotonic() - begun_s
    return ReplicasReport(summarise(downtimes), store, seconds)


def write_report(report: ReplicasReport, path: Path) -> None:
    """Write a report as JSON."""
    path.write_text(json.dumps(asdict(report), indent=1), encoding='utf-8')
