"""Writes log records in a thread of its own, so that no task waits for it."""

import logging
import sys
import threading
from queue import SimpleQueue
from typing import IO

#: Records that wait to be written; more are dropped and counted. It holds
#: several seconds of the highest load.
MAX_QUEUED_RECORDS = 20_000
#: Severity above which records are kept whatever waits.
_KEPT_LEVEL = logging.WARNING


class LogWriter(logging.Handler):
    """Takes records of all tasks; one thread formats and writes them.

    Parameters
    ----------
    formatter
        Renders a record as one line.
    stream
        Where to write; ``None`` for standard output.

    """

    def __init__(
        self,
        formatter: logging.Formatter,
        stream: IO[str] | None = None,
    ) -> None:
        """Start the writing thread."""
        super().__init__()
        self.setFormatter(formatter)
        self._stream = stream or sys.stdout
        self._waiting: SimpleQueue[logging.LogRecord | None] = SimpleQueue()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def createLock(self) -> None:  # noqa: N802 - name of the library
        """Use no lock; only the queue is shared."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Leave a record and return at once."""
        is_full = self._waiting.qsize() >= MAX_QUEUED_RECORDS
        if is_full and record.levelno < _KEPT_LEVEL:
            self._dropped += 1
            return
        self._waiting.put(record)

    def close(self) -> None:
        """Write what waits and end the thread."""
        self._waiting.put(None)
        self._thread.join(1)
        super().close()

    def _run(self) -> None:
        while True:
            record = self._waiting.get()
            if record is None:
                self._stream.flush()
                return
            self._write(record)
            if self._waiting.empty():
                self._stream.flush()

    def _write(self, record: logging.LogRecord) -> None:
        dropped = self._dropped
        self._dropped = 0
        if dropped:
            record.dropped = dropped
        try:
            self._stream.write(f'{self.format(record)}\n')
        except (OSError, ValueError):
            # Nobody reads the log; the process serves on.
            self._dropped += 1
