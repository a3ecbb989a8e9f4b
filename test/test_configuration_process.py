"""Tests of the spread of configurations between real processes."""

import threading
import time
import unittest

import urllib3

from pomelogauge.decide.data_centre_chart import DataCentreEvent
from pomelogauge.decide.publication import DataCentreChange
from pomelogauge.decide.spread import SpreadSettings
from pomelogauge.lab.cluster import ClusterSpec
from pomelogauge.lab.manifests import MODEL, caller_key, manifest_for
from pomelogauge.model.errors import UserError
from pomelogauge.model.ids import DataCentreName
from pomelogauge.model.phase import NodePhase
from pomelogauge.model.topology import InstanceRole

from .process_fixtures import LIMIT_S, Installation

SPEC = ClusterSpec(
    data_centres=('north', 'south'),
    engines=0,
    services=0,
    routers=2,
    controllers=1,
    router_flags=('--allow-cuts',),
    controller_flags=('--allow-cuts',),
)
SOUTH = DataCentreName('south')
CHAT = {
    'model': MODEL,
    'messages': [{'role': 'user', 'content': 'Quote?'}],
    'stream': True,
}
ISOLATED = ('south-router-0', 'south-controller-0')


def address_of(at: Installation, node: str) -> str:
    """Return the address of the one live process of a node."""
    (address,) = (
        ready.address
        for started in at.cluster.members
        for ready in started.process.ready
        if ready.name == node and started.process.alive
    )
    return address


class ConfigurationProcessTest(unittest.TestCase):
    """Guards against processes that disagree on the version in force.

    Two data centres, of which ``south`` is isolated or drained.
    """

    at: Installation

    @classmethod
    def setUpClass(cls) -> None:
        cls.at = Installation(SPEC)
        cls.addClassCleanup(cls.at.end)
        cls.at.start()

    def setUp(self) -> None:
        self.await_version(1)
        self.addCleanup(self.at.set_store, 'up')
        self.addCleanup(self.at.heal)

    def change(self, event: DataCentreEvent) -> int:
        """Change the state of ``south``; return the published version."""
        change = DataCentreChange(SOUTH, event)
        return self.at.publisher().change(change).version

    def entries(self, node: str) -> list[str]:
        """Return the router addresses that a router gives to callers."""
        url = f'http://{address_of(self.at, node)}/v1/entry'
        return urllib3.request('GET', url, timeout=2).json()['addresses']

    def await_version(self, version: int) -> None:
        """Wait until all processes are ready with a version."""
        ready = lambda: self.at.all_are(NodePhase.READY, version)  # noqa: E731
        self.at.wait(ready, f'all ready with version {version}')

    def test_one_of_two_racing_operators_wins(self) -> None:
        outcomes: list[object] = []
        start = threading.Barrier(2)
        manifest = manifest_for(SPEC, replicas=2)

        def race(name: str) -> None:
            publisher = self.at.publisher(name)
            start.wait()
            try:
                outcomes.append(publisher.publish(manifest))
            except UserError as exc:
                outcomes.append(str(exc))

        self.at.set_store('slow', 0.3)
        operators = [threading.Thread(target=race, args=(n,)) for n in 'ab']
        for operator in operators:
            operator.start()
        for operator in operators:
            operator.join(LIMIT_S)
        self.at.set_store('up')
        (error,) = (out for out in outcomes if isinstance(out, str))
        (winner,) = (out for out in outcomes if not isinstance(out, str))
        self.assertIn(f'version {winner.version} by {winner.publisher}', error)
        self.await_version(winner.version)

    def test_isolated_minority_accepts_no_work(self) -> None:
        self.at.block_links(ISOLATED)
        cut_off = lambda: self.at.all_are(  # noqa: E731
            NodePhase.CUT_OFF, 1, ISOLATED
        )
        self.at.wait(cut_off, 'cut off')
        version = self.change(DataCentreEvent.ANNOUNCE)
        others = tuple(set(self.at.addresses()).difference(ISOLATED))
        served = lambda: self.at.all_are(  # noqa: E731
            NodePhase.READY, version, others
        )
        self.at.wait(served, 'in force at the others')
        # Even if the new version reaches them, no majority confirms it.
        self.assertTrue(self.at.all_are(NodePhase.CUT_OFF, 1, ISOLATED))
        router = ISOLATED[0]
        # The routers of the other data centre are named only after their
        # heartbeats have stopped arriving here.
        own = address_of(self.at, router)
        self.at.wait(lambda: own not in self.entries(router), 'others named')
        answer = urllib3.request(
            'POST',
            f'http://{own}/v1/chat/completions',
            headers={'Authorization': f'Bearer {caller_key("organisation-0")}'},
            json=CHAT,
            timeout=5,
        )
        error = answer.json()['error']
        self.assertEqual(error['code'], 'entry_cut_off')
        self.assertEqual(error['execution'], 'not_run')
        self.assertCountEqual(error['entries'], self.entries(router))
        self.at.heal()
        self.await_version(version)

    def test_drain_reaches_all_while_a_router_dies(self) -> None:
        self.at.set_store('slow', 0.5)
        killed = self.at.cluster.processes.find('north-router-1')
        version = self.change(DataCentreEvent.DRAIN)
        killed.kill()
        self.await_version(version)
        self.at.set_store('up')
        north = address_of(self.at, 'north-router-0')
        south = address_of(self.at, 'south-router-0')
        self.assertNotIn(south, self.entries('south-router-0'))
        named = lambda: self.entries('south-router-0') == [north]  # noqa: E731
        self.at.wait(named, 'named alone')
        restarted = self.at.cluster.start_entry(InstanceRole.ROUTER, 'north', 1)
        self.at.cluster.await_and_list(restarted)
        self.await_version(version)
        self.await_version(self.change(DataCentreEvent.BRING_BACK))

    def test_peers_confirm_each_other_while_the_store_is_down(self) -> None:
        self.at.set_store('down')
        until_s = time.monotonic() + 2 * SpreadSettings().cut_off_after_s
        while time.monotonic() < until_s:
            self.assertTrue(self.at.all_are(NodePhase.READY, 1))
        self.at.set_store('up')
        self.await_version(self.change(DataCentreEvent.BRING_BACK))
