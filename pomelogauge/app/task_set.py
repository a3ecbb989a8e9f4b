"""The tasks of a process, started and stopped in order."""

from typing import TypeVar

from ..tasks.task import Actor, Task

MessageT = TypeVar('MessageT')

#: Seconds that a task may take to end.
STOP_LIMIT_S = 5.0


class TaskSet:
    """Makes tasks, starts them in this order and stops them in reverse."""

    def __init__(self) -> None:
        """Start with none."""
        self._tasks: list[Task] = []  # type: ignore[type-arg]

    def add(self, name: str, actor: Actor[MessageT]) -> Task[MessageT]:
        """Make the task of an actor; it starts with the set."""
        task = Task(name, actor)
        self._tasks.append(task)
        return task

    def start(self) -> None:
        """Start all tasks."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop all tasks, the last made first."""
        for task in reversed(self._tasks):
            task.stop(STOP_LIMIT_S)
