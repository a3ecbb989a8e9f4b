"""Fuzzing of what comes from outside: it is decoded or refused, no more."""

import json
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from pomelogauge.charts.reader import chart_text, parse_chart
from pomelogauge.decide.manifest_check import check_manifest
from pomelogauge.lab.record_file import decode_event
from pomelogauge.model.errors import FindingsError
from pomelogauge.model.ids import RequestId, RowVersion
from pomelogauge.tables.protocols import Row, RowKey
from pomelogauge.wire import (
    chat_bodies,
    chat_events,
    configuration_document,
    configuration_row,
    engine_json,
    intent_rows,
    manifest_document,
    platform_json,
    rows,
)
from pomelogauge.wire.yaml_document import parse_document

from .fuzz_documents import JSON, changed

MANIFEST = json.loads(
    json.dumps(
        parse_document('m', Path('docs/examples/manifest.yaml').read_bytes())
        .unwrap()
        .root
    )
)
TEXTS = st.text(max_size=60) | JSON.map(json.dumps)

CHAT = {'model': 'quotes', 'stream': True, 'messages': [{'role': 'user'}]}
STATUS = {
    'instance': 'e',
    'incarnation': 'i',
    'state': 'ready',
    'replica': 'r',
    'epoch': 1,
    'rank': 0,
    'load': {'running': 0, 'completed': 0, 'bearable': 1, 'capacity': 2},
}
MEMBER = {
    'instance': 'e',
    'address': 'a:1',
    'data_centre': 'n',
    'domain': 'd',
    'rank': 0,
}
ROW_DOCUMENT = {
    'holder': 'h',
    'epoch': 1,
    'incarnation': 'i',
    'count': 2,
    'replica': 'r',
    'deployment': 'd',
    'shard': 's',
    'state': 'serving',
    'members': [MEMBER],
    'version': 3,
    'object': 'o',
    'publisher': 'p',
}


def row(text: str) -> Row:
    return Row(RowKey('t', 'd#0'), RowVersion(1), text, 'tx')


class FuzzTest(unittest.TestCase):
    def settled(self, outcome: Result[Any, Any]) -> None:
        self.assertIsInstance(outcome, Success | Failure)

    @given(changed(MANIFEST) | JSON)
    def test_manifests(self, document: Any) -> None:
        body = json.dumps(document).encode()
        decoded = manifest_document.decode_manifest('m', body)
        if isinstance(decoded, Failure):
            self.assertTrue(decoded.failure())
        else:
            tuple(check_manifest(decoded.unwrap().manifest))

    @given(st.binary(max_size=80))
    def test_bytes_that_are_no_manifest(self, body: bytes) -> None:
        self.settled(manifest_document.decode_manifest('m', body))
        self.settled(configuration_document.decode_configuration(body))

    @given(
        st.binary(max_size=80)
        | (changed(CHAT) | JSON).map(lambda found: json.dumps(found).encode())
    )
    def test_chat_bodies(self, body: bytes) -> None:
        self.settled(chat_bodies.parse_chat(body))

    @given(
        st.binary(max_size=80)
        | (changed(STATUS) | JSON).map(lambda found: json.dumps(found).encode())
    )
    def test_answers_of_outside_systems(self, body: bytes) -> None:
        decoders: tuple[Callable[[bytes], Result[Any, Any]], ...] = (
            engine_json.decode_status,
            platform_json.decode_transaction,
            platform_json.decode_committed,
            platform_json.decode_instances,
            lambda found: chat_events.parse_event(found, RequestId('r')),
            lambda found: platform_json.decode_row('t', found),
            lambda found: platform_json.decode_rows('t', found),
        )
        for decode in decoders:
            self.settled(decode(body))

    @given(TEXTS | changed(ROW_DOCUMENT).map(json.dumps))
    def test_rows(self, text: str) -> None:
        decoders: tuple[Callable[[Row], Result[Any, Any]], ...] = (
            rows.decode_lease,
            rows.decode_heartbeat,
            rows.decode_membership,
            rows.decode_replica,
            intent_rows.decode_intent,
        )
        for decode in decoders:
            self.settled(decode(row(text)))
        self.settled(configuration_row.decode_configuration_row(text))

    @given(st.data())
    def test_charts(self, drawn: Any) -> None:
        lines = chart_text('replica').splitlines()
        at = drawn.draw(st.integers(0, len(lines) - 1))
        lines[at] = drawn.draw(st.text(max_size=20))
        try:
            parse_chart('fuzzed', '\n'.join(lines))
        except FindingsError as exc:
            self.assertTrue(exc.findings)

    @given(TEXTS)
    def test_lines_of_records(self, line: str) -> None:
        self.assertRaises(ValueError, decode_event, line)


if __name__ == '__main__':
    unittest.main()
