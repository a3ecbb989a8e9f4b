"""Tests of the engine stand-in: fencing, warm-up, streams and faults."""

import json
import unittest
from typing import Any

import urllib3

from pomelogauge.model.ids import Epoch, InstanceName, ReplicaId
from pomelogauge.model.placement import EngineState
from pomelogauge.standins.engine import EngineStandin, EngineStandinSettings
from pomelogauge.standins.engine_load import PrefixCache
from pomelogauge.standins.engine_model import (
    Admission,
    EngineLimits,
    EngineModel,
    EngineOrder,
    OrderAccepted,
    OrderKind,
    StaleFencingToken,
)
from pomelogauge.standins.tokens import token_text

from .test_http_platform import control

MESSAGES = [{'role': 'user', 'content': 'a torn sole'}]


def load_order(
    name: str, epoch: int, kind: OrderKind = OrderKind.LOAD
) -> EngineOrder:
    """Build an order for replica ``r1``."""
    return EngineOrder(name, kind, ReplicaId('r1'), Epoch(epoch))


def loaded_model(**limits: Any) -> EngineModel:
    """Build a model that has loaded ``r1`` with fencing number 5."""
    model = EngineModel(InstanceName('e'), EngineLimits(**limits))
    model.order(load_order('o1', 5), 0)
    model.tick(0)
    return model


class EngineModelTest(unittest.TestCase):
    """Guards the rules that scenarios rely on, without network."""

    def test_refuses_a_stale_fencing_number(self) -> None:
        model = loaded_model()
        old = model.order(load_order('o2', 4, OrderKind.UNLOAD), 0)
        self.assertEqual(old, StaleFencingToken(Epoch(5)))
        self.assertIs(model.status.state, EngineState.READY)

    def test_accepts_a_stale_fencing_number_with_ignore_fence(self) -> None:
        model = loaded_model(ignore_fence=True)
        old = model.order(load_order('o2', 4, OrderKind.UNLOAD), 0)
        self.assertEqual(old, OrderAccepted())
        self.assertIs(model.status.state, EngineState.EMPTY)

    def test_retried_order_has_no_second_effect(self) -> None:
        model = loaded_model()
        model.order(load_order('o2', 6, OrderKind.UNLOAD), 0)
        model.order(load_order('o1', 5), 0)
        self.assertIs(model.status.state, EngineState.EMPTY)

    def test_completed_requests_raise_the_capacity(self) -> None:
        model = loaded_model(cold_slots=1, slots=2)
        self.assertEqual(model.status.current_capacity, 1)
        for _ in range(3):
            model.admit(ReplicaId('r1'), Epoch(5))
            model.end(completed=True)
        self.assertEqual(model.status.current_capacity, 2)
        admissions = [model.admit(ReplicaId('r1'), Epoch(5)) for _ in range(3)]
        self.assertEqual(
            admissions,
            [Admission.ACCEPTED, Admission.ACCEPTED, Admission.OVERLOADED],
        )

    def test_cold_engine_crashes_when_overloaded(self) -> None:
        model = loaded_model(cold_slots=1)
        before = model.status.incarnation
        model.admit(ReplicaId('r1'), Epoch(5))
        admission = model.admit(ReplicaId('r1'), Epoch(5))
        self.assertIs(admission, Admission.FELL_OVER)
        self.assertIs(model.status.state, EngineState.EMPTY)
        self.assertNotEqual(model.status.incarnation, before)

    def test_cache_events_are_delayed_and_have_gaps(self) -> None:
        cache = PrefixCache()
        for number in range(10):
            cache.store(str(number), 0)
        self.assertEqual(cache.events(0, 0), ())
        self.assertEqual(len(cache.events(0, 60)), 8)


class EngineStandinTest(unittest.TestCase):
    """Guards streams and their interruption over HTTP."""

    def start(
        self, count: int = 1, interval_s: float = 0, **limits: Any
    ) -> list[EngineStandin]:
        cfg = EngineStandinSettings(
            count=count,
            load_s=0,
            token_interval_s=interval_s,
            load_lag_s=0,
            **limits,
        )
        engines = [EngineStandin(cfg, number) for number in range(count)]
        for engine in engines:
            engine.start()
            self.addCleanup(engine.stop)
        self.address = engines[0].address
        self.load(engines)
        return engines

    def load(self, engines: list[EngineStandin]) -> None:
        """Load ``r1`` into all engines; the first one has rank 0."""
        members = [
            {'instance': engine.name, 'address': engine.address, 'rank': rank}
            for rank, engine in enumerate(engines)
        ]
        for rank, engine in enumerate(engines):
            order = {
                'order': f'o{rank}',
                'kind': 'load',
                'replica': 'r1',
                'epoch': 5,
                'rank': rank,
                'members': members,
            }
            answer = urllib3.request(
                'POST', f'http://{engine.address}/v1/orders', json=order
            )
            self.assertEqual(answer.status, 202)

    def ask(
        self, tokens: int, resume_at: int = 0, replica: str = 'r1'
    ) -> urllib3.BaseHTTPResponse:
        return urllib3.request(
            'POST',
            f'http://{self.address}/v1/chat/completions',
            json={'messages': MESSAGES, 'max_tokens': tokens, 'stream': True},
            headers={
                'X-Request-Id': f'q{tokens}',
                'X-Replica': replica,
                'X-Epoch': '5',
                'X-Resume-At': str(resume_at),
                'X-Client': 'router-1',
            },
            preload_content=False,
            retries=False,
            timeout=20,
        )

    def status(self, address: str) -> Any:
        return urllib3.request('GET', f'http://{address}/v1/status').json()

    def record(self) -> Any:
        return control(self.address, 'GET', 'record')

    def assert_cut(self, stream: urllib3.BaseHTTPResponse) -> None:
        """Check that the stream ends without its final chunk."""
        with self.assertRaises(urllib3.exceptions.HTTPError):
            stream.read()

    def test_resumed_stream_continues_the_same_tokens(self) -> None:
        self.start()
        completed = events(self.ask(6))
        self.assertEqual(
            [text for _, text in completed],
            [token_text(MESSAGES, index) for index in range(6)],
        )
        self.assertEqual(events(self.ask(6, resume_at=4)), completed[4:])
        ends = [request['end'] for request in self.record()['requests']]
        self.assertEqual(ends, ['whole', 'whole'])

    def test_refuses_requests_for_another_replica(self) -> None:
        self.start()
        self.assertEqual(self.ask(1, replica='r2').status, 409)

    def test_overloaded_cold_engine_drops_all_streams(self) -> None:
        (engine,) = self.start(cold_slots=1, interval_s=20)
        first = self.ask(2)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self.ask(3)
        self.assert_cut(first)
        self.assertEqual(self.status(engine.address)['state'], 'empty')
        self.assertEqual(self.record()['overfed'], 1)

    def test_cancel_ends_a_stream_and_releases_its_slot(self) -> None:
        self.start(interval_s=20)
        stream = self.ask(2)
        gone = urllib3.request(
            'DELETE', f'http://{self.address}/v1/requests/q2'
        )
        self.assertEqual(gone.status, 204)
        self.assertEqual(self.status(self.address)['load']['running'], 0)
        self.assert_cut(stream)

    def test_blocked_links_and_crashes_end_waiting_streams(self) -> None:
        self.start(interval_s=20)
        cut = self.ask(2)
        control(self.address, 'PUT', 'cuts', clients=['router-1'])
        self.assert_cut(cut)
        control(self.address, 'PUT', 'cuts', clients=[])
        crashed = self.ask(3)
        control(self.address, 'PUT', 'mode', mode='crash')
        self.assert_cut(crashed)

    def test_loss_of_a_member_ends_streams(self) -> None:
        engines = self.start(count=2, interval_s=20)
        stream = self.ask(2)
        control(engines[1].address, 'PUT', 'mode', mode='crash')
        self.assert_cut(stream)


def events(stream: urllib3.BaseHTTPResponse) -> list[tuple[int, str]]:
    """Read a stream to its end; return index and text of each token."""
    lines = stream.read().decode().split('\n\n')
    assert lines[-2:] == ['data: [DONE]', ''], lines
    chunks = [json.loads(line.removeprefix('data: ')) for line in lines[:-2]]
    return [
        (chunk['token'], chunk['choices'][0]['delta']['content'])
        for chunk in chunks
    ]
