"""Tests of decoding manifests."""

import unittest
from pathlib import Path

from pomelogauge.wire.manifest_document import decode_manifest

EXAMPLE = Path('docs/examples/manifest.yaml')

BAD_FORM = b"""\
data_centres:
  - name: dc1
    region: 2026-01-01
  - nme: dc2
organisations: []
deployments:
  - name: quotes
    span: true
"""


def findings_of(body: bytes) -> list[str]:
    """Return the rendered findings of a manifest that is refused."""
    return [
        str(finding) for finding in decode_manifest('m.yaml', body).failure()
    ]


class ManifestDocumentTest(unittest.TestCase):
    """Guards against findings that are missing or show the wrong line."""

    def test_decodes_the_example(self) -> None:
        manifest = decode_manifest('m', EXAMPLE.read_bytes()).unwrap().manifest
        self.assertEqual([each.span for each in manifest.deployments], [4, 4])
        self.assertEqual(len(manifest.data_centres), 3)
        calls = {
            call.name: call.idempotent for call in manifest.services[0].calls
        }
        self.assertEqual(calls, {'book': False, 'pay': False, 'status': True})

    def test_findings_show_their_lines_in_order(self) -> None:
        findings = findings_of(BAD_FORM)
        starts = [finding.split(':')[1].split(' ') for finding in findings]
        lines = [int(start[0]) for start in starts]
        self.assertEqual(lines, sorted(lines))
        self.assertIn(['3', 'data_centres/0/region'], starts)
        self.assertIn(['4', 'data_centres/1'], starts)
        self.assertIn(['8', 'deployments/0/span'], starts)
        # Two names and a region, a wrong key, four keys missing, one type.
        self.assertEqual(len(findings), 9)

    def test_json_may_be_indented_by_tabs(self) -> None:
        body = b'{\n\t"data_centres": [],\n\t"organisations":\t[]}'
        decode_manifest('m.json', body).unwrap()

    def test_text_that_is_no_document_gives_one_finding(self) -> None:
        for body in (b'', b'a: [', b'\xff', b'&a [*a]', b'[' * 400, b'\0'):
            with self.subTest(body[:8]):
                self.assertEqual(len(findings_of(body)), 1)
        self.assertIn(
            'm.yaml:2: found duplicate', findings_of(b'a: 1\na: 2')[0]
        )
