"""Asynchronous log handler: a slow log reader does not block tasks."""

import logging
import sys
import threading
from queue import SimpleQueue
from typing import IO

#: Records queued at most; below warning, further ones are dropped and
#: counted. Covers several seconds of the highest load.
MAX_QUEUED_RECORDS = 20_000
#: Records of this severity or above are queued beyond the limit too.
_KEPT_LEVEL = logging.WARNING


class LogWriter(logging.Handler):
    """Queues records of all tasks; one thread formats and writes them.

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
        self._queue: SimpleQueue[logging.LogRecord | None] = SimpleQueue()
        self._dropped = 0
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def createLock(self) -> None:  # noqa: N802 - name of the library
        """Use no lock; the queue is the only shared state."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record without blocking."""
        is_full = self._queue.qsize() >= MAX_QUEUED_RECORDS
        if is_full and record.levelno < _KEPT_LEVEL:
            self._dropped += 1
            return
        self._queue.put(record)

    def close(self) -> None:
        """Write the queued records and end the thread, within one second."""
        self._queue.put(None)
        self._thread.join(1)
        super().close()

    def _run(self) -> None:
        while True:
            record = self._queue.get()
            if record is None:
                self._stream.flush()
                return
            self._write(record)
            if self._queue.empty():
                self._stream.flush()

    def _write(self, record: logging.LogRecord) -> None:
        dropped = self._dropped
        self._dropped = 0
        if dropped:
            record.dropped = dropped
        try:
            self._stream.write(f'{self.format(record)}\n')
        except (OSError, ValueError):
            # The reader of the log has gone; the process keeps serving.
            self._dropped += 1
