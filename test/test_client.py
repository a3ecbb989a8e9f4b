"""Tests of the callers' library against a server in memory."""

import json
import unittest
from unittest import mock

import urllib3

from pomelogauge import client as library
from pomelogauge.client import Client


class Answer:
    """Response of a router with the interface of ``urllib3``."""

    def __init__(self, status: int, body: object) -> None:
        self.status = status
        self.headers: dict[str, str] = {}
        self._body = body

    def json(self) -> object:
        return self._body

    def read(self) -> bytes:
        return json.dumps(self._body).encode()

    def release_conn(self) -> None:
        """Keep no connection."""


class FakePool:
    """Scripted routers by address; each call pops the next response."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.routers: dict[str, list[object]] = {}
        self.named = ['a:1', 'b:1']

    def request(self, method: str, url: str, **more: object) -> Answer:
        address, _, path = url.removeprefix('http://').partition('/')
        self.calls.append(f'{address} {path}')
        if path == 'v1/entry':
            return Answer(200, {'addresses': self.named, 'ttl_s': 2})
        answer = self.routers[address].pop(0)
        if isinstance(answer, Exception):
            raise answer
        assert isinstance(answer, Answer)
        return answer


def refused(execution: str, **more: object) -> Answer:
    """Build a refusal; ``execution`` says whether the call may have run."""
    error = {'code': 'x', 'message': 'x', 'execution': execution, **more}
    return Answer(503, {'error': error})


UNREACHABLE = urllib3.exceptions.NewConnectionError(
    mock.Mock(host='a'), 'refused'
)


class ClientTest(unittest.TestCase):
    """A request that may have run must not be sent twice."""

    def setUp(self) -> None:
        self.pool = FakePool()
        self.time_s = 100.0
        clock = mock.patch.object(
            library.time, 'monotonic', lambda: self.time_s
        )
        clock.start()
        self.addCleanup(clock.stop)
        self.client = Client(('s:1',), 'key', pool=self.pool)  # type: ignore

    def call(self) -> object:
        return self.client.call('booking', 'book', {}, 'k')

    def asked(self) -> list[str]:
        """Return the addresses of all requests in order."""
        return [called.partition(' ')[0] for called in self.pool.calls]

    def test_addresses_are_cached_until_they_expire(self) -> None:
        self.assertEqual(self.client.entries(), ('a:1', 'b:1'))
        self.time_s += 1.9
        self.client.entries()
        self.assertEqual(self.asked(), ['s:1'])
        self.time_s += 0.2
        self.client.entries()
        self.assertEqual(self.asked(), ['s:1', 'a:1'])

    def test_retries_at_another_router_after_not_run_only(self) -> None:
        self.pool.routers = {
            'a:1': [UNREACHABLE, refused('not_run')],
            'b:1': [Answer(200, {'run': 1}), refused('may_have_run')],
        }
        self.assertEqual(self.call().unwrap(), {'run': 1})
        self.assertEqual(self.call().failure().execution, 'may_have_run')
        self.assertEqual(self.asked(), ['s:1', 'a:1', 'b:1', 'a:1', 'b:1'])

    def test_request_with_lost_response_is_not_retried(self) -> None:
        self.pool.routers = {'a:1': [urllib3.exceptions.ProtocolError('cut')]}
        self.assertEqual(self.call().failure().execution, 'may_have_run')
        self.assertEqual(self.asked(), ['s:1', 'a:1'])

    def test_retries_at_routers_named_in_a_refusal(self) -> None:
        self.pool.routers = {
            'a:1': [refused('not_run', entries=['c:1'], retry_after_s=1)],
            'c:1': [Answer(200, {'run': 1})],
        }
        self.assertEqual(self.call().unwrap(), {'run': 1})
        self.assertEqual(self.asked(), ['s:1', 'a:1', 'c:1'])
