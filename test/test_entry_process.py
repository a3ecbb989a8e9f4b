"""Whole entry processes before stand-ins of the platform."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from .entry_process import EntryProcess
from .platform_standin import (
    StoreStandin,
    WorkerStandin,
    configuration,
    wait_for,
)

#: Characters of an entry's log that are shown after a failure.
LOG_SHOWN = 8000


class EntryProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix='pomelogauge-')
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = StoreStandin()
        self.addCleanup(self.store.close)
        self.store.put('op', 'config', configuration(1, 'k'))
        self.workers = [
            WorkerStandin(f'w{index}', self.store) for index in range(3)
        ]
        for worker in self.workers:
            self.addCleanup(worker.close)

    def entry(self, name: str) -> EntryProcess:
        entry = EntryProcess(name, self.folder, self.store.address)
        self.addCleanup(self.end, entry)
        return entry

    def end(self, entry: EntryProcess) -> None:
        """End an entry; show its log after a failure."""
        entry.end()
        failed = self._outcome.result.failures
        if any(test is self for test, _ in failed):
            print(entry.log.read_text()[-LOG_SHOWN:], file=sys.stderr)

    def test_the_whole_path(self) -> None:
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.is_ready))
        for entry in (first, second):
            self.assertTrue(wait_for(entry.serves_requests))
        self.assert_named(first, {first.callers, second.callers})
        self.assertEqual(first.send_request('a2', 'bad').status, 401)
        self.assert_revoked(first)
        self.assert_metrics(first)
        self.assert_logged(first)

    def assert_named(self, entry: EntryProcess, addresses: set[str]) -> None:
        def named() -> bool:
            answer = entry.get(entry.directory, '/resolve?name=h&zone=a')
            return set(answer.json()['addresses']) == addresses

        self.assertTrue(wait_for(named))

    def assert_revoked(self, entry: EntryProcess) -> None:
        self.store.put('op', 'config', configuration(2, 'other'))
        self.assertTrue(
            wait_for(lambda: entry.send_request('a3').status == 401, 2)
        )
        self.store.put('op', 'config', configuration(3, 'k'))
        self.assertTrue(wait_for(entry.serves_requests, 2))

    def assert_metrics(self, entry: EntryProcess) -> None:
        text = entry.get(entry.metrics, '/metrics').data.decode()
        self.assertIn('pomelogauge_entry_requests_total', text)

    def assert_logged(self, entry: EntryProcess) -> None:
        lines = [
            line for line in entry.log_records() if line.get('request') == 'a1'
        ]
        parts = {line['part'] for line in lines}
        self.assertEqual(parts, {'choice', 'request'})

    def test_any_instance_may_be_killed(self) -> None:
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.serves_requests))
        self.assertTrue(wait_for(second.serves_requests))
        first.end()
        self.assertTrue(second.serves_requests())
        self.assert_named(second, {second.callers})
        first.start()
        self.assertTrue(wait_for(first.serves_requests))
        second.end()
        worker = next(one for one in self.workers if one.group)
        worker.close()
        self.store.put('servers', worker.name, None)
        self.assertTrue(
            wait_for(first.serves_requests, 20), 'a group is repaired'
        )

    def test_all_instances_may_be_killed(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        orders = sum(len(worker.orders) for worker in self.workers)
        entry.end()
        entry.start()
        self.assertTrue(wait_for(entry.serves_requests))
        again = sum(len(worker.orders) for worker in self.workers)
        self.assertEqual(again, orders, 'the group that stands is adopted')

    def test_no_key_is_used_without_the_store(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        self.store.is_down = True
        self.assertTrue(entry.serves_requests(), 'it serves on for a while')
        self.assertTrue(
            wait_for(lambda: entry.send_request('a2').status == 503, 7)
        )
        self.store.is_down = False
        self.assertTrue(wait_for(entry.serves_requests))

    def test_a_shutdown_cuts_nothing(self) -> None:
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.serves_requests))
        self.assertTrue(wait_for(second.serves_requests))
        os.kill(first.process.pid, signal.SIGTERM)
        self.assertTrue(wait_for(lambda: not first.is_ready(), 1))
        self.assertTrue(
            first.serves_requests(), 'late callers are still served'
        )
        self.assert_named(second, {second.callers})
        self.assertEqual(first.process.wait(9), 0)

    def test_a_signal_during_the_start_ends_nothing(self) -> None:
        for delay_s in (0.1, 0.2, 0.3):
            entry = self.entry(f'n{delay_s}')
            time.sleep(delay_s)
            os.kill(entry.process.pid, signal.SIGHUP)
            self.assertTrue(wait_for(entry.serves_requests))

    def test_changed_settings_end_nothing(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        settings = json.loads(entry.settings.read_text())
        for change in ({'zone': 'b'}, {'zone': 5}):
            entry.settings.write_text(json.dumps({**settings, **change}))
            os.kill(entry.process.pid, signal.SIGHUP)
            self.assertTrue(entry.serves_requests())
        said = [
            line['message']
            for line in entry.log_records()
            if 'reload' in line['message']
        ]
        self.assertEqual(len(said), 2)
        self.assertIn('zone: is not a text', said[1])

    def test_a_drained_data_centre_gets_nothing(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        self.store.put('op', 'evacuate/a', {})
        self.assertTrue(
            wait_for(lambda: entry.send_request('a2').status == 503, 3)
        )
        self.store.put('op', 'evacuate/a', None)
        self.assertTrue(wait_for(entry.serves_requests, 3))

    def test_malformed_entries_harm_no_other(self) -> None:
        self.store.put('servers', 'bad', {'service': 5})
        self.store.put('servers', 'odd', {'state': 'x', 'group': []})
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))

    def test_malformed_settings_are_one_line_each(self) -> None:
        settings = self.folder / 'bad.json'
        settings.write_text('{"node_name": 5}')
        ended = subprocess.run(
            [
                *(sys.executable, '-m', 'pomelogauge', 'entry'),
                *('--settings', str(settings)),
            ],
            capture_output=True,
            check=False,
            timeout=20,
        )
        self.assertEqual(ended.returncode, 2)
        self.assertIn(b'bad.json node_name: is not a text', ended.stderr)
        self.assertNotIn(b'Traceback', ended.stderr)
