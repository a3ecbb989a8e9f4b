"""Tests of measurements and the page made from them."""

import tempfile
import unittest
from pathlib import Path

from returns.result import Failure, Success

from pomelogauge.lab.load import Arrival, Sent
from pomelogauge.lab.measurement import (
    Mark,
    Measurement,
    NodeVersion,
    Sample,
    read_measurement,
    request_results,
    write_measurement,
)
from pomelogauge.lab.report import render, write_report
from pomelogauge.model.errors import UserError
from pomelogauge.wire.caller_responses import CallError, ChatCompletion

ANSWER = Success(ChatCompletion('q', 'a b', 0.5, (0.5, 0.6)))
REFUSAL = Failure(CallError('overloaded', '', 'not_run'))
SENT = (
    Sent(Arrival(1, 2.0, 'organisation-1', ''), 2.5, 3.1, REFUSAL),
    Sent(Arrival(0, 1.0, 'organisation-0', ''), 2.0, 2.6, ANSWER),
)
MEASURED = Measurement(
    'Two <requests>',
    'pomelogauge lab load',
    7,
    1,
    request_results(SENT),
    (Mark(1.5, 'south drained'),),
    (
        Sample(0, 1, 0, (NodeVersion('n', 1),)),
        Sample(2, 0, 8, ()),
        Sample(3, 1, 0, (NodeVersion('n', 2),)),
    ),
)


class ReportTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_a_late_caller_counts_as_waiting(self) -> None:
        first, second = MEASURED.requests
        self.assertEqual((first.at_s, first.first_token_s), (1.0, 1.5))
        self.assertEqual(second.code, 'overloaded')

    def test_measurements_come_back_from_their_file(self) -> None:
        path = self.folder / 'deep' / 'm.json'
        write_measurement(path, MEASURED)
        self.assertEqual(read_measurement(path), MEASURED)
        for text in ('', '[]', '{"requests": []}'):
            path.write_text(text)
            self.assertRaises(UserError, read_measurement, path)

    def test_the_page_stands_alone(self) -> None:
        path = self.folder / 'm.json'
        write_measurement(path, MEASURED)
        write_report([path], self.folder / 'report.html')
        page = (self.folder / 'report.html').read_text()
        self.assertEqual(page.count('src="data:image/png;base64,'), 6)
        self.assertNotIn('http', page)
        self.assertIn('Two &lt;requests&gt;', page)
        self.assertIn('1.0 replica-seconds', page)
        self.assertIn('8 accelerator-seconds', page)
        self.assertIn('seed 7', page)

    def test_a_load_without_answers_can_be_shown(self) -> None:
        refused = Measurement('None', '', 1, 0, request_results(SENT[:1]))
        self.assertEqual(render([refused]).count('<img'), 3)


if __name__ == '__main__':
    unittest.main()
