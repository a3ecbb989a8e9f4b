"""Logs that hold up nobody."""

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
    def record(self, level: int = logging.INFO) -> logging.LogRecord:
        return logging.LogRecord('n', level, 'f', 1, 'said', None, None)

    def test_a_reader_that_hangs_holds_up_no_task(self) -> None:
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

    def test_a_stream_that_is_gone_ends_nothing(self) -> None:
        stream = io.StringIO()
        writer = LogWriter(logging.Formatter('%(message)s'), stream)
        stream.close()
        writer.emit(self.record())
        writer.close()
