"""Tests of a router's shutdown over real processes."""

import signal
import threading
import time
import unittest
from collections.abc import Callable

import urllib3
from returns.result import Result, Success

from pomelogauge.app.daemon import FORCED_EXIT_CODE
from pomelogauge.client import Client
from pomelogauge.lab.cluster import ClusterSpec
from pomelogauge.lab.manifests import MODEL, caller_key
from pomelogauge.lab.processes import Process
from pomelogauge.lab.standin_control import StandinMode
from pomelogauge.model.topology import InstanceRole
from pomelogauge.wire.caller_responses import CallError, ChatCompletion

from .process_fixtures import LIMIT_S, Installation

SPEC = ClusterSpec(
    engines=1,
    services=0,
    routers=2,
    controllers=1,
    engine_flags=('--token-interval-s', '0.03'),
    router_flags=('--entry-ttl-s', '1.5', '--shutdown-limit-s', '7'),
)
LEAVING = 'north-router-0'
TOKENS = 90


class Stream:
    """A chat that runs in a thread."""

    def __init__(self, address: str) -> None:
        self.outcome: Result[ChatCompletion, CallError] | None = None
        self._client = client_at(address)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def answer(self) -> ChatCompletion:
        self._thread.join(LIMIT_S)
        assert isinstance(self.outcome, Success), self.outcome
        return self.outcome.unwrap()

    def _run(self) -> None:
        self.outcome = self._client.chat(MODEL, 'Quote?', max_tokens=TOKENS)


def client_at(address: str) -> Client:
    """Return a caller who kept an answer that names this router alone."""
    client = Client((address,), caller_key('organisation-0'))
    client.entries = lambda: (address,)  # type: ignore[method-assign]
    return client


class ShutdownProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.at = Installation(SPEC)
        self.addCleanup(self.at.end)
        self.at.start(span=1)
        routers = self.at.cluster.addresses(InstanceRole.ROUTER)
        self.address, self.other = routers
        for router in routers:
            client = client_at(router)
            served = serves(client)
            self.at.wait(served, 'serving')
        self.process: Process = self.at.cluster.processes.find(LEAVING)
        self.stream = Stream(self.address)
        running = lambda: self.engine_running() > 0  # noqa: E731
        self.at.wait(running, 'running')

    def engine_running(self) -> int:
        status = self.at.status('north-controller-0')
        return sum(view.running for view in status.views) if status else 0

    def entries(self) -> list[str]:
        url = f'http://{self.other}/v1/entry'
        return urllib3.request('GET', url, timeout=2).json()['addresses']

    def assert_ends(self, code: int = 0) -> None:
        self.assertEqual(self.process.wait(LIMIT_S).value_or(None), code)

    def test_unnamed_at_once_yet_serves_and_finishes(self) -> None:
        self.process.send(signal.SIGTERM)
        self.at.wait(lambda: self.entries() == [self.other], 'unnamed')
        kept = client_at(self.address).chat(MODEL, 'Quote?', max_tokens=1)
        self.assertIsInstance(kept, Success)
        # A pause in the middle cuts nothing.
        self.process.pause()
        time.sleep(1)
        self.process.resume()
        self.assertEqual(len(self.stream.answer().token_times_s), TOKENS)
        self.assert_ends()

    def test_a_second_signal_refuses_and_finishes(self) -> None:
        self.process.send(signal.SIGTERM)
        time.sleep(0.2)
        self.process.send(signal.SIGTERM)
        time.sleep(0.2)
        refused = client_at(self.address)._send(  # noqa: SLF001
            self.address,
            '/v1/chat/completions',
            '{"model": "quotes", "stream": true, '
            '"messages": [{"role": "user", "content": "x"}]}',
            '',
        )
        error = refused.failure()
        self.assertEqual(error.code, 'entry_draining')
        self.assertEqual(error.execution, 'not_run')
        self.assertEqual(error.entries, (self.other,))
        self.assertEqual(len(self.stream.answer().token_times_s), TOKENS)
        self.assert_ends()

    def test_a_stuck_target_holds_it_up_for_the_limit_only(self) -> None:
        engine = self.at.cluster.addresses(InstanceRole.ENGINE)[0]
        self.at.cluster.control.set_mode(engine, StandinMode('hang'))
        self.process.send(signal.SIGTERM)
        self.assert_ends(FORCED_EXIT_CODE)


def serves(client: Client) -> Callable[[], bool]:
    """Return a question whether a router gets an answer."""
    return lambda: isinstance(
        client.chat(MODEL, 'Quote?', max_tokens=1), Success
    )
