"""Starts, watches and ends the processes that a tool or a test runs."""

import json
import os
import queue
import signal
import subprocess
import sys
import threading
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from ..model.errors import UserError
from ..model.ids import Address

#: Seconds that a process may take until its ready lines are there.
READY_LIMIT_S = 30.0
#: Seconds between a polite signal and the last one.
END_LIMIT_S = 10.0


class ProcessError(UserError):
    """A process of a tool did not start or did not end."""


@dataclass(frozen=True)
class Command:
    """What is started.

    Parameters
    ----------
    name
        Name in the tool's output.
    arguments
        Arguments after ``python -m pomelogauge``.
    ready_lines
        Ready lines to wait for.
    environment
        Variables beside those of the tool.

    """

    name: str
    arguments: tuple[str, ...]
    ready_lines: int = 1
    environment: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Ready:
    """A ready line of a process."""

    role: str
    name: str
    address: Address
    peer_address: Address


class Process:
    """One process that this tool has started and ends by its id."""

    def __init__(self, command: Command, log_folder: Path) -> None:
        """Start the process; its standard error goes to a log file."""
        self.command = command
        self.ready: tuple[Ready, ...] = ()
        log_folder.mkdir(parents=True, exist_ok=True)
        self.log_path = log_folder / f'{command.name}.log'
        self._lines: queue.SimpleQueue[str] = queue.SimpleQueue()
        with self.log_path.open('ab') as log:
            self._popen = subprocess.Popen(
                (sys.executable, '-m', 'pomelogauge', *command.arguments),
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env={**os.environ, **command.environment},
                start_new_session=True,
            )
        assert self._popen.stdout is not None
        threading.Thread(
            target=_drain,
            args=(self._popen.stdout, self._lines),
            daemon=True,
        ).start()

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self._popen.poll() is None

    def await_ready(self) -> tuple[Ready, ...]:
        """Wait for the ready lines.

        Raises
        ------
        ProcessError
            The process ended, or took too long.

        """
        lines = (self._ready() for _ in range(self.command.ready_lines))
        self.ready = tuple(lines)
        return self.ready

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.alive:
            self._popen.send_signal(number)

    def pause(self) -> None:
        """Stop the process until it is resumed."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to end by itself."""
        self.send(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.send(signal.SIGKILL)
        self._popen.wait(END_LIMIT_S)

    def wait(self, limit_s: float) -> Result[int, ProcessError]:
        """Wait for the end of the process and return its exit code."""
        try:
            return Success(self._popen.wait(limit_s))
        except subprocess.TimeoutExpired:
            return Failure(ProcessError(f'{self.command.name} has not ended'))

    def end(self) -> None:
        """End the process politely, then by force."""
        self.resume()
        self.send(signal.SIGTERM)
        if not is_successful(self.wait(END_LIMIT_S)):
            self.kill()

    def last_log_lines(self, count: int = 3) -> str:
        """Return the end of the log, for an error message."""
        lines = self.log_path.read_text(errors='replace').splitlines()
        return ' | '.join(lines[-count:])

    def next_line(self) -> str:
        """Wait for the next line of output; empty for none."""
        try:
            return self._lines.get(timeout=READY_LIMIT_S).rstrip()
        except queue.Empty:
            return ''

    def _ready(self) -> Ready:
        ready = _parse_ready(self.next_line())
        if ready is None:
            raise ProcessError(
                f'{self.command.name} did not get ready: '
                f'{self.last_log_lines()}',
            )
        return ready


class ProcessSet:
    """All processes of one run, ended together."""

    def __init__(self, log_folder: Path) -> None:
        """Start with none."""
        self.log_folder = log_folder
        self._processes: dict[str, Process] = {}

    def start(self, command: Command) -> Process:
        """Start a process without waiting for it."""
        process = Process(command, self.log_folder)
        self._processes[command.name] = process
        return process

    def find(self, name: str) -> Process:
        """Return a process by its name.

        Raises
        ------
        ProcessError
            There is none of this name.

        """
        process = self._processes.get(name)
        if process is None:
            raise ProcessError(f'no process is named {name}')
        return process

    def __iter__(self) -> Iterator[Process]:
        """Yield the processes in the order of their start."""
        yield from self._processes.values()

    def end_all(self) -> None:
        """End all processes, the last started first."""
        ordered = tuple(reversed(self._processes.values()))
        for process in ordered:
            process.resume()
            process.send(signal.SIGTERM)
        for process in ordered:
            process.end()
        self._processes.clear()

    def kill_all(self) -> None:
        """End all processes at once, the last started first."""
        for process in reversed(self._processes.values()):
            process.kill()
        self._processes.clear()


def _drain(
    pipe: IO[str],
    lines: queue.SimpleQueue[str],
) -> None:
    """Hand on lines until the process closes its output."""
    with pipe:
        for line in pipe:
            lines.put(line)
    lines.put('')


def _parse_ready(line: str) -> Ready | None:
    try:
        parsed = json.loads(line)
        return Ready(
            parsed['role'],
            parsed['name'],
            Address(parsed['address']),
            Address(parsed.get('peer_address', '')),
        )
    except (ValueError, KeyError, TypeError):
        return None
