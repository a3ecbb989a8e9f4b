"""Tests of the logs."""

import io
import json
import logging
import unittest
from typing import Any

from pomelogauge.app.log_level import LogLevel
from pomelogauge.app.logs import set_up_logs
from pomelogauge.model.ids import NodeName
from pomelogauge.model.log_parts import Part
from pomelogauge.tasks.log import part_logger


class LogsTest(unittest.TestCase):
    """Guards the fields of log lines, which operators' tools read."""

    def setUp(self) -> None:
        root = logging.getLogger()
        ours = logging.getLogger('pomelogauge')
        self.addCleanup(setattr, root, 'handlers', root.handlers)
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(ours.setLevel, ours.level)
        self.stream = io.StringIO()
        set_up_logs(NodeName('r1'), LogLevel.INFO, self.stream)

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(at) for at in self.stream.getvalue().splitlines()]

    def test_every_part_has_its_prefix(self) -> None:
        for part in Part:
            part_logger(part).info('took %s', 'dc1/a')
        for part, line in zip(Part, self.lines(), strict=True):
            self.assertEqual(line['message'], f'{part}: took dc1/a')
            self.assertEqual(line['part'], part)
            self.assertEqual(line['level'], 'INFO')
            self.assertEqual(line['node'], 'r1')
            self.assertRegex(line['time'], r'T[0-9:]+\.\d{3}Z$')

    def test_extra_fields_and_errors_stay_in_one_line(self) -> None:
        log = part_logger(Part.ROUTER)
        log.debug('not written')
        try:
            raise ValueError('first\nsecond')
        except ValueError:
            log.exception('failed', extra={'request': 'q1'})
        (line,) = self.lines()
        self.assertEqual(line['request'], 'q1')
        self.assertIn('ValueError: first\nsecond', line['exc_info'])

    def test_a_library_s_record_has_the_same_fields(self) -> None:
        logging.getLogger('urllib3').warning('100%% %s', 'slow')
        logging.getLogger('urllib3').info('not written')
        (line,) = self.lines()
        self.assertEqual(line['message'], '100% slow')
        self.assertEqual(line['part'], 'task')
