"""Tests of entry instances as processes against stand-ins of the platform."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from .entry_process import EntryProcess, claim_block
from .platform_standin import (
    StoreStandin,
    WorkerStandin,
    configuration,
    wait_for,
)

#: Characters at the end of an instance's log that are printed after a failure.
LOG_TAIL_CHARS = 8000


class EntryProcessTest(unittest.TestCase):
    """Guards against outages that losses, signals and bad input may cause.

    The store and three targets run as stand-ins in the test's own process.
    """

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
        """Start an instance that ends with the test."""
        entry = EntryProcess(name, self.folder, self.store.address)
        self.addCleanup(self.end, entry)
        return entry

    def end(self, entry: EntryProcess) -> None:
        """Kill an instance; print the end of its log if the test failed."""
        entry.end()
        failed = self._outcome.result.failures
        if any(test is self for test, _ in failed):
            print(entry.log.read_text()[-LOG_TAIL_CHARS:], file=sys.stderr)

    def test_requests_are_served_from_end_to_end(self) -> None:
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.is_ready))
        for entry in (first, second):
            self.assertTrue(wait_for(entry.serves_requests))
        self.assert_directory_lists(first, {first.callers, second.callers})
        self.assertEqual(first.send_request('a2', 'bad').status, 401)
        self.assert_revoked(first)
        self.assert_metrics(first)
        self.assert_logged(first)

    def assert_directory_lists(
        self, entry: EntryProcess, addresses: set[str]
    ) -> None:
        def is_listed() -> bool:
            response = entry.get(entry.directory, '/resolve?name=h&zone=a')
            return set(response.json()['addresses']) == addresses

        self.assertTrue(wait_for(is_listed))

    def assert_revoked(self, entry: EntryProcess) -> None:
        """Check that a revoked key is refused and a restored one accepted."""
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
        """Check that the log has the decisions about a request."""
        lines = [
            line for line in entry.log_records() if line.get('request') == 'a1'
        ]
        parts = {line['part'] for line in lines}
        self.assertEqual(parts, {'choice', 'request'})

    def test_requests_are_served_after_any_instance_is_killed(self) -> None:
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.serves_requests))
        self.assertTrue(wait_for(second.serves_requests))
        first.end()
        self.assertTrue(second.serves_requests())
        self.assert_directory_lists(second, {second.callers})
        first.start()
        self.assertTrue(wait_for(first.serves_requests))
        second.end()
        worker = next(worker for worker in self.workers if worker.group)
        worker.close()
        self.store.put('servers', worker.name, None)
        self.assertTrue(
            wait_for(first.serves_requests, 20),
            'no group was formed without the lost target',
        )

    def test_a_restart_of_all_instances_adopts_the_group(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        orders = sum(len(worker.orders) for worker in self.workers)
        entry.end()
        entry.start()
        self.assertTrue(wait_for(entry.serves_requests))
        orders_after = sum(len(worker.orders) for worker in self.workers)
        self.assertEqual(
            orders_after, orders, 'the existing group was formed again'
        )

    def withdraw(self) -> WorkerStandin:
        """Withdraw the key and remove the group's head, which still runs."""
        self.store.put('op', 'config', configuration(2, 'other'))
        gone = next(
            worker
            for worker in self.workers
            if worker.group and not worker.group['rank']
        )
        self.store.put('servers', gone.name, None)
        return gone

    def assert_unused(
        self, gone: WorkerStandin, *entries: EntryProcess
    ) -> None:
        """Check that neither the key nor the target is used again."""
        served = len(gone.served)
        ends_s = time.monotonic() + 2
        while time.monotonic() < ends_s:
            for entry in entries:
                status = entry.send_request('a6').status
                self.assertIn(status, {401, 503})
        for entry in entries:
            self.assertTrue(
                wait_for(
                    lambda entry=entry: (
                        entry.send_request('a7', 'other').status == 200
                    )
                )
            )
        self.assertEqual(len(gone.served), served)

    def test_what_went_during_a_stop_of_all_is_not_used_again(self) -> None:
        """The store is slow at the restart, or has dropped its history."""
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.serves_requests))
        self.assertTrue(wait_for(second.serves_requests))
        for entry in (first, second):
            entry.end()
        gone = self.withdraw()
        self.store.forgotten = self.store.version
        self.store.delay_s = 0.3
        for entry in (first, second):
            entry.start()
        for entry in (first, second):
            self.assertTrue(wait_for(entry.is_ready))
        self.assert_unused(gone, first, second)

    def test_what_went_is_not_used_while_the_store_turns_all_away(
        self,
    ) -> None:
        """A restarted instance uses nothing that it has not read."""
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        entry.end()
        gone = self.withdraw()
        served = len(gone.served)
        self.store.is_down = True
        entry.start()
        self.assertTrue(
            wait_for(lambda: entry.send_request('a5').status == 503)
        )
        for _ in range(20):
            self.assertFalse(entry.is_ready())
            self.assertEqual(entry.send_request('a5').status, 503)
            time.sleep(0.03)
        self.store.is_down = False
        self.assertTrue(
            wait_for(lambda: entry.send_request('a6').status == 401)
        )
        for _ in range(10):
            entry.send_request('a7', 'other')
        self.assertEqual(len(gone.served), served)

    def test_what_went_while_one_was_away_is_not_used_again(self) -> None:
        """The instance may get its tables from the other one."""
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.serves_requests))
        self.assertTrue(wait_for(second.serves_requests))
        first.end()
        gone = self.withdraw()
        first.start()
        self.assertTrue(wait_for(first.is_ready))
        self.assert_unused(gone, first)

    def test_keys_are_refused_once_the_configuration_is_too_old(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        self.store.is_down = True
        self.assertTrue(
            entry.serves_requests(),
            'an outage of the store stopped requests at once',
        )
        self.assertTrue(
            wait_for(lambda: entry.send_request('a2').status == 503, 7)
        )
        self.store.is_down = False
        self.assertTrue(wait_for(entry.serves_requests))

    def test_a_shutdown_ends_no_request(self) -> None:
        first, second = self.entry('n1'), self.entry('n2')
        self.assertTrue(wait_for(first.serves_requests))
        self.assertTrue(wait_for(second.serves_requests))
        os.kill(first.process.pid, signal.SIGTERM)
        self.assertTrue(wait_for(lambda: not first.is_ready(), 1))
        self.assertTrue(
            first.serves_requests(), 'a request during the shutdown was refused'
        )
        self.assert_directory_lists(second, {second.callers})
        self.assertEqual(first.process.wait(9), 0)

    def test_a_reload_signal_during_the_start_ends_no_process(self) -> None:
        for delay_s in (0.1, 0.2, 0.3):
            entry = self.entry(f'n{delay_s}')
            time.sleep(delay_s)
            os.kill(entry.process.pid, signal.SIGHUP)
            self.assertTrue(wait_for(entry.serves_requests))

    def test_changed_settings_end_no_process(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        settings = json.loads(entry.settings.read_text())
        for change in ({'zone': 'b'}, {'zone': 5}):
            entry.settings.write_text(json.dumps({**settings, **change}))
            os.kill(entry.process.pid, signal.SIGHUP)
            self.assertTrue(entry.serves_requests())
        messages = [
            line['message']
            for line in entry.log_records()
            if 'reload' in line['message']
        ]
        self.assertEqual(len(messages), 2)
        self.assertIn('zone: expected a string, got int', messages[1])

    def test_a_drained_data_centre_gets_no_requests(self) -> None:
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))
        self.store.put('op', 'evacuate/a', {})
        self.assertTrue(
            wait_for(lambda: entry.send_request('a2').status == 503, 3)
        )
        self.store.put('op', 'evacuate/a', None)
        self.assertTrue(wait_for(entry.serves_requests, 3))

    def test_malformed_target_rows_affect_no_other_target(self) -> None:
        self.store.put('servers', 'bad', {'service': 5})
        self.store.put('servers', 'odd', {'state': 'x', 'group': []})
        entry = self.entry('n1')
        self.assertTrue(wait_for(entry.serves_requests))

    def test_malformed_settings_end_the_start_without_a_traceback(self) -> None:
        settings = self.folder / 'bad.json'
        settings.write_text('{"node_name": 5}')
        completed = subprocess.run(
            [
                *(sys.executable, '-m', 'pomelogauge', 'entry'),
                *('--settings', str(settings)),
            ],
            capture_output=True,
            check=False,
            timeout=20,
        )
        self.assertEqual(completed.returncode, 2)
        self.assertIn(
            b'bad.json node_name: expected a string, got int', completed.stderr
        )
        self.assertNotIn(b'Traceback', completed.stderr)


class PortBlockTest(unittest.TestCase):
    def test_two_test_processes_do_not_share_a_block_of_ports(self) -> None:
        """Guards against requests that reach the targets of another test run.

        The ids of both processes left the same rest.
        """
        with claim_block(7) as first, claim_block(7) as second:
            ports = {first.getsockname()[1], second.getsockname()[1]}
        self.assertEqual(len(ports), 2)
