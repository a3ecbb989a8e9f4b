"""Measures a chart event in the table and in the reader library's own interpreter."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml

from ..charts.reader import load_chart
from ..decide.shutdown_chart import (
    SHUTDOWN_WORDS,
    ShutdownEvent,
    ShutdownFacts,
)

#: Events of one run.
EVENTS = 20_000
_US_IN_S = 1_000_000

# The library evaluates guards as Python text, so this chart names none.
_PLAIN_CHART = """
statechart:
  name: plain
  root state:
    name: process
    initial: running
    states:
      - name: running
        transitions:
          - {event: asked, target: announcing}
      - name: announcing
        transitions:
          - {event: asked, target: running}
"""


@dataclass(frozen=True)
class ChartCost:
    """Microseconds an event.

    Parameters
    ----------
    table_us
        In the transition table.
    interpreter_us
        In the reader library's interpreter.

    """

    table_us: float
    interpreter_us: float

    @property
    def ratio(self) -> float:
        """How many times the interpreter takes the table's time."""
        return self.interpreter_us / self.table_us


def measure_charts(events: int = EVENTS) -> ChartCost:
    """Run both in turn in one process.

    Parameters
    ----------
    events
        Events of each run.

    """
    return ChartCost(
        table_us=_micros(_table_run, events),
        interpreter_us=_micros(_interpreter_run, events // 10),
    )


def _micros(run: Callable[[int], None], events: int) -> float:
    begun_s = time.perf_counter()
    run(events)
    return (time.perf_counter() - begun_s) / events * _US_IN_S


def _table_run(events: int) -> None:
    chart = load_chart('router_shutdown', SHUTDOWN_WORDS)
    state = chart.initial
    facts = ShutdownFacts()
    for _ in range(events):
        chart.step(state, ShutdownEvent.REQUESTED, facts)


def _interpreter_run(events: int) -> None:
    interpreter = Interpreter(import_from_yaml(_PLAIN_CHART))
    interpreter.execute_once()
    for _ in range(events):
        interpreter.queue('asked')
        interpreter.execute_once()
