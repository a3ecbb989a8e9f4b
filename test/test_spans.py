"""Tests that the spans of a request or a push join across processes."""

import json
import tempfile
import time
import unittest
from pathlib import Path

import urllib3

from pomelogauge.app.connections import open_platform
from pomelogauge.app.publish import publish_manifest
from pomelogauge.client import Client
from pomelogauge.lab.cluster import Cluster, ClusterSpec
from pomelogauge.lab.demo import publish
from pomelogauge.lab.manifests import caller_key, manifest_for, manifest_text
from pomelogauge.model.topology import InstanceRole
from pomelogauge.tables.configuration_store import ConfigurationStore

TRACE = 'ab' * 16
PARENT = 'cd' * 8
TRIES = 100
#: Most versions that are published, and checks of the spans after each.
PUBLICATIONS = 20
CHECKS_PER_PUBLICATION = 20


class SpansTest(unittest.TestCase):
    """Guards against spans that lose their parent from process to process."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix='pomelogauge-')
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.trace_file = self.folder / 'traces.jsonl'
        flags = ('--trace-file', str(self.trace_file))
        spec = ClusterSpec(
            domains=0, controllers=0, router_flags=flags, services=1
        )
        self.cluster = Cluster(spec, self.folder)
        self.addCleanup(self.cluster.end)
        self.cluster.start_targets()
        self.manifest = manifest_text(manifest_for(spec))
        publish(self.cluster, self.folder, self.manifest)
        self.cluster.start_entries()

    def spans(self) -> list[dict]:
        """Read the spans of all processes, without a partial last line."""
        complete = self.trace_file.read_text().rpartition('\n')[0]
        lines = complete.splitlines()
        return [json.loads(line) for line in lines]

    def served_by_peers(self) -> list[dict]:
        """Return the spans of calls that a process served for a peer."""
        return [
            span for span in self.spans() if span['name'].startswith('peer ')
        ]

    def book(self, address: str) -> bool:
        """Send one call with a trace context and return whether it ran."""
        resp = urllib3.request(
            'POST',
            f'http://{address}/v1/services/booking/book',
            body='{}',
            headers={
                'Authorization': f'Bearer {caller_key("organisation-0")}',
                'Idempotency-Key': 'k',
                'traceparent': f'00-{TRACE}-{PARENT}-01',
            },
        )
        return resp.status == 200

    def publish_until_pushed(self) -> None:
        """Publish versions until one router pushes one to the other.

        Neither router pushes a version that both find in the store at the
        same time, so one version may not be enough.
        """
        platform = open_platform(self.cluster.platform, 5)
        store = ConfigurationStore(platform)
        for _ in range(PUBLICATIONS):
            publish_manifest(store, manifest_for(self.cluster.spec), 'a')
            for _ in range(CHECKS_PER_PUBLICATION):
                if self.served_by_peers():
                    return
                time.sleep(0.1)

    def test_spans_of_a_request_and_of_pushes_join(self) -> None:
        routers = self.cluster.addresses(InstanceRole.ROUTER)
        client = Client(routers, caller_key('organisation-0'))
        for _ in range(TRIES):
            client.call('booking', 'status', {})
            if self.book(routers[0]):
                break
        self.publish_until_pushed()
        self.cluster.end()
        spans = self.spans()
        own = [span for span in spans if TRACE in span['context']['trace_id']]
        by_name = {span['name']: span for span in own}
        request = by_name['router request']
        self.assertIn(PARENT, request['parent_id'])
        for name in ('place wait', 'target'):
            parent = by_name[name]['parent_id']
            self.assertEqual(parent, request['context']['span_id'])
        self.assert_pushes_join(spans)

    def assert_pushes_join(self, spans: list[dict]) -> None:
        """Check that each served call has its parent in another process."""
        by_id = {span['context']['span_id']: span for span in spans}
        served = self.served_by_peers()
        self.assertTrue(served)
        for server_span in served:
            client_span = by_id[server_span['parent_id']]
            self.assertTrue(client_span['name'].startswith('configuration '))
            nodes = {
                span['resource']['attributes']['service.instance.id']
                for span in (server_span, client_span)
            }
            self.assertEqual(len(nodes), 2)
