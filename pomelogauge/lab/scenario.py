"""Runs scenarios: one small installation each, a record, and its checkers."""

import shutil
import tempfile
import time
import zlib
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from importlib import import_module
from pathlib import Path

from ..model.errors import UserError
from .checkers import CHECKERS
from .collect import collect
from .features import PlannedStep, ScenarioPlan, read_plans
from .record import Breach, Event, RunBegun, check_record
from .record_file import write_record
from .steps import VOCABULARY, StepError
from .world import World

RECORD_NAME = 'record.jsonl'

_STEP_MODULES = ('cluster', 'faults', 'operators', 'calls')


@dataclass(frozen=True)
class RunOptions:
    """How scenarios run.

    Parameters
    ----------
    seed
        Of the random source.
    record
        Folder for records and logs; ``None`` keeps those of failures only,
        in a temporary folder.

    """

    seed: int = 1
    record: Path | None = None


@dataclass(frozen=True)
class StepResult:
    """What became of a step; ``fault`` is empty when it passed."""

    step: PlannedStep
    seconds: float
    fault: str = ''

    def __str__(self) -> str:
        """Render as one line."""
        verdict = 'failed' if self.fault else 'passed'
        said = f': {self.fault}' if self.fault else ''
        line = f'line {self.step.line:>3}'
        return (
            f'  {verdict} {self.seconds:6.2f} s  {line}  {self.step.text}{said}'
        )


@dataclass(frozen=True)
class ScenarioResult:
    """What became of a scenario.

    Parameters
    ----------
    plan
        The scenario.
    steps
        Steps carried out; those after a failed one are not run.
    breaches
        What the checkers found.
    folder
        Where the record and the logs are.

    """

    plan: ScenarioPlan
    steps: tuple[StepResult, ...]
    breaches: tuple[Breach, ...]
    folder: Path

    @property
    def passed(self) -> bool:
        """Whether all steps passed and no checker found a breach."""
        return not self.breaches and not any(step.fault for step in self.steps)

    def faults(self) -> tuple[str, ...]:
        """Return all that was wrong, a line each."""
        failed = (str(step) for step in self.steps if step.fault)
        return (*failed, *(f'  broken: {breach}' for breach in self.breaches))


def plans_of(paths: Sequence[Path]) -> tuple[ScenarioPlan, ...]:
    """Read the scenarios of files and folders with all known steps.

    Raises
    ------
    FindingsError
        A file can't be read.

    """
    for name in _STEP_MODULES:
        # A module registers its steps when it is imported.
        import_module(f'.steps_{name}', __package__)
    return read_plans(paths, VOCABULARY)


def run_files(
    paths: Sequence[Path],
    options: RunOptions,
    say: Callable[[str], None] = print,
) -> bool:
    """Run all scenarios of files and folders, and tell whether all passed.

    Parameters
    ----------
    paths
        Feature files, or folders of them.
    options
        How they run.
    say
        Takes each line of output.

    Raises
    ------
    FindingsError
        A file can't be read; nothing has run then.

    """
    plans = plans_of(paths)
    results = [run_plan(plan, options, say) for plan in plans]
    passed = sum(result.passed for result in results)
    say(f'{passed} passed, {len(results) - passed} failed')
    return passed == len(results)


def run_plan(
    plan: ScenarioPlan,
    options: RunOptions,
    say: Callable[[str], None] = print,
) -> ScenarioResult:
    """Run one scenario; its logs are kept when it fails."""
    say(f'{plan.path}:{plan.line} {plan.name} (seed {options.seed})')
    folder = _folder(plan, options)
    world = World(folder, _seed(plan, options.seed))
    world.recorder.post(RunBegun(0, plan.name, options.seed))
    # The processes end also when the tool is interrupted.
    try:  # noqa: WPS501
        result = _run(plan, world, say)
    finally:
        world.end()
    for breach in result.breaches:
        say(f'  broken: {breach}')
    if not result.passed:
        say(f'  the record and the logs are in {folder}')
    elif options.record is None:
        _remove(folder)
    return result


def _run(
    plan: ScenarioPlan,
    world: World,
    say: Callable[[str], None],
) -> ScenarioResult:
    results: list[StepResult] = []
    for step in plan.steps:
        results.append(_run_step(step, world))
        say(str(results[-1]))
        if results[-1].fault:
            break
    breaches = check_record(CHECKERS, _finish(world))
    return ScenarioResult(plan, tuple(results), breaches, world.folder)


def _run_step(step: PlannedStep, world: World) -> StepResult:
    begun_s = time.monotonic()
    fault = ''
    try:
        step.call.run(world, step.table)
    except (StepError, UserError) as exc:
        fault = str(exc)
    except Exception as exc:
        # The other scenarios still run after a fault of a step's own code.
        fault = f'internal error: {exc!r}'
    return StepResult(step, time.monotonic() - begun_s, fault)


def _finish(world: World) -> Sequence[Event]:
    world.stop_observing()
    with suppress(StepError):
        for event in collect(world.cluster, world.recorder.now_s()):
            world.recorder.post(event)
    events = world.recorder.events()
    write_record(world.folder / RECORD_NAME, events)
    return events


def _folder(plan: ScenarioPlan, options: RunOptions) -> Path:
    if options.record is None:
        return Path(tempfile.mkdtemp(prefix='pomelogauge-'))
    folder = options.record / plan.slug
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def _remove(folder: Path) -> None:
    shutil.rmtree(folder, ignore_errors=True)


def _seed(plan: ScenarioPlan, seed: int) -> int:
    """Return a seed of the scenario's own, whichever others run before it."""
    return zlib.crc32(f'{seed}/{plan.name}'.encode())
