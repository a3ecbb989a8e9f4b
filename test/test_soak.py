"""The soak's own parts, a short run of it, and the seeds that failed."""

import socket
import threading
import time
import unittest
from contextlib import suppress

from .soak.observer import Observer
from .soak.proxy import Mode, Proxy
from .soak.regression import read_seeds
from .soak.runner import SeedResult, run_seed

SEED = 7
SECONDS = 8


class Echo:
    """A server that sends back what it gets."""

    def __init__(self) -> None:
        self.server = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.server.getsockname()[1]}'
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                threading.Thread(
                    target=self.answer, args=(sock,), daemon=True
                ).start()

    def answer(self, sock: socket.socket) -> None:
        with suppress(OSError):
            while piece := sock.recv(100):
                sock.sendall(piece)


class ProxyTest(unittest.TestCase):
    def setUp(self) -> None:
        echo = Echo()
        self.addCleanup(echo.server.close)
        self.proxy = Proxy(echo.address)
        self.addCleanup(self.proxy.close)
        host, _, port = self.proxy.address.rpartition(':')
        self.sock = socket.create_connection((host, int(port)), 1)
        self.addCleanup(self.sock.close)

    def echoes(self) -> bool:
        self.sock.settimeout(0.4)
        with suppress(TimeoutError):
            self.sock.sendall(b'x')
            return self.sock.recv(1) == b'x'
        return False

    def test_bytes_pass_both_ways(self) -> None:
        self.assertTrue(self.echoes())

    def test_a_cut_holds_bytes_up_until_it_heals(self) -> None:
        for mode in (Mode.SILENT, Mode.NO_FORWARD, Mode.NO_BACKWARD):
            self.assertTrue(self.echoes())
            self.proxy.mode = mode
            self.assertFalse(self.echoes(), mode)
            self.proxy.restore()
            self.assertEqual(self.sock.recv(1), b'x')

    def test_a_delay_is_kept(self) -> None:
        self.proxy.mode = Mode.DELAY
        self.proxy.delay_s = 0.1
        began_s = time.monotonic()
        self.assertTrue(self.echoes())
        self.assertGreater(time.monotonic() - began_s, 0.2)

    def test_open_connections_are_reset(self) -> None:
        self.assertTrue(self.echoes())
        self.proxy.reset()
        with self.assertRaises(ConnectionError):
            self.sock.settimeout(1)
            if not self.sock.recv(1):
                raise ConnectionResetError


class ObserverTest(unittest.TestCase):
    def setUp(self) -> None:
        self.observer = Observer()

    def violated_invariants(self) -> list[str]:
        self.observer.check_end('once-')
        return [one.invariant for one in self.observer.violations]

    def test_a_second_run_is_seen(self) -> None:
        self.observer.record_sent('once-1', 'k')
        self.observer.record_run('once-1', 'd1')
        self.assertEqual(self.violated_invariants(), [])
        self.observer.record_run('once-1', 'd2')
        self.assertEqual(self.violated_invariants(), ['at most once'])

    def test_an_untrue_refusal_is_seen(self) -> None:
        self.observer.record_sent('once-1', 'k')
        self.observer.record_refusal('once-1', 503)
        self.assertEqual(self.violated_invariants(), [])
        self.observer.record_run('once-1', 'd1')
        self.assertEqual(self.violated_invariants(), ['true refusal'])

    def test_a_request_that_nobody_sent_is_seen(self) -> None:
        self.observer.record_run('stream-1', 'w1')
        self.assertEqual(self.violated_invariants(), ['unasked'])

    def test_a_key_that_was_taken_away_is_seen(self) -> None:
        self.observer.revoke('k')
        self.observer.began_s -= 6
        self.observer.record_sent('stream-1', 'k')
        self.observer.record_run('stream-1', 'w1')
        self.assertEqual(self.violated_invariants(), ['revoked'])


class SoakTest(unittest.TestCase):
    def assert_kept(self, result: SeedResult) -> None:
        text = '\n'.join(map(str, (*result.violations, *result.faults)))
        self.assertEqual(result.violations, (), text)
        served = [result.counts.get(f'{kind}-200') for kind in KINDS]
        self.assertTrue(all(served), result.counts)

    def test_a_short_run_keeps_every_promise(self) -> None:
        self.assert_kept(run_seed(SEED, SECONDS))

    def test_seeds_that_failed_keep_every_promise(self) -> None:
        for failed in read_seeds():
            with self.subTest(seed=failed.seed, cause=failed.cause):
                self.assert_kept(run_seed(failed.seed, failed.seconds))


KINDS = ('once', 'stream')
