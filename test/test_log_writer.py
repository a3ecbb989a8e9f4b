"""Tests that a blocked or closed log stream does not stop tasks."""

import io
import logging
import threading
import unittest

from pomelogauge.app import log_writer
from pomelogauge.app.log_writer import LogWriter


class StuckStream(io.StringIO):
    """Blocks its writer until it is released."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait(5)
        return super().write(text)


class LogWriterTest(unittest.TestCase):
    """A log stream that blocks or fails must not stop the process."""

    def record(self, level: int = logging.INFO) -> logging.LogRecord:
        return logging.LogRecord('n', level, 'f', 1, 'said', None, None)

    def test_blocked_reader_does_not_block_tasks(self) -> None:
        stream = StuckStream()
        formatter = logging.Formatter('%(message)s')
        writer = LogWriter(formatter, stream)
        for _ in range(log_writer.MAX_QUEUED_RECORDS + 500):
            writer.emit(self.record())
        writer.emit(self.record(logging.ERROR))
        stream.released.set()
        writer.close()
        written = stream.getvalue().count('said')
        self.assertLessEqual(written, log_writer.MAX_QUEUED_RECORDS + 2)
        self.assertGreaterEqual(written, log_writer.MAX_QUEUED_RECORDS)

    def test_closed_stream_raises_no_error(self) -> None:
        stream = io.StringIO()
        writer = LogWriter(logging.Formatter('%(message)s'), stream)
        stream.close()
        writer.emit(self.record())
        writer.close()
