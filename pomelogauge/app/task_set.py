"""The tasks of a process, started and stopped in order."""

import gc
from typing import Protocol, TypeVar

from ..tasks.task import Actor, Task

MessageT = TypeVar('MessageT')

#: Seconds to wait for each task to end.
STOP_LIMIT_S = 5.0


class RunningTask(Protocol):
    """A task that can be started and stopped."""

    def start(self) -> None:
        """Start the thread."""

    def stop(self, timeout_s: float | None = None) -> None:
        """Ask the task to end and wait for it."""


class TaskSet:
    """Makes tasks, starts them in this order and stops them in reverse."""

    def __init__(self) -> None:
        """Start with none."""
        self._tasks: list[RunningTask] = []

    def add(self, name: str, actor: Actor[MessageT]) -> Task[MessageT]:
        """Make the task of an actor, to be started with the set."""
        task = Task(name, actor)
        self._tasks.append(task)
        return task

    def include(self, task: RunningTask) -> None:
        """Add a task that runs its own thread."""
        self._tasks.append(task)

    def start(self) -> None:
        """Start all tasks.

        What was built before lives as long as the process, so that garbage
        collections pass over it from now on.
        """
        gc.freeze()
        gc.enable()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop all tasks, the last made first."""
        for task in reversed(self._tasks):
            task.stop(STOP_LIMIT_S)
