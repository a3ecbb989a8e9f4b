"""Tests of the configuration in force over real processes."""

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
from pomelogauge.model.peers import NodePhase
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
CUT = ('south-router-0', 'south-controller-0')


def address_of(at: Installation, node: str) -> str:
    (found,) = (
        ready.address
        for started in at.cluster.members
        for ready in started.process.ready
        if ready.name == node and started.process.alive
    )
    return found


class ConfigurationProcessTest(unittest.TestCase):
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
        change = DataCentreChange(SOUTH, event)
        return self.at.publisher().change(change).version

    def entries(self, node: str) -> list[str]:
        url = f'http://{address_of(self.at, node)}/v1/entry'
        return urllib3.request('GET', url, timeout=2).json()['addresses']

    def await_version(self, version: int) -> None:
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
        (lost,) = (one for one in outcomes if isinstance(one, str))
        (won,) = (one for one in outcomes if not isinstance(one, str))
        self.assertIn(f'version {won.version} by {won.publisher}', lost)
        self.await_version(won.version)

    def test_a_minority_that_is_cut_off_takes_no_work(self) -> None:
        self.at.block_links(CUT)
        cut_off = lambda: self.at.all_are(  # noqa: E731
            NodePhase.CUT_OFF, 1, CUT
        )
        self.at.wait(cut_off, 'cut off')
        version = self.change(DataCentreEvent.ANNOUNCE)
        rest = tuple(set(self.at.addresses()).difference(CUT))
        served = lambda: self.at.all_are(  # noqa: E731
            NodePhase.READY, version, rest
        )
        self.at.wait(served, 'in force at the rest')
        # The operator's command may reach them, yet nothing confirms it.
        self.assertTrue(self.at.all_are(NodePhase.CUT_OFF, 1, CUT))
        router = CUT[0]
        # The far ones are named once they are silent here.
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

    def test_a_drain_reaches_all_though_a_router_dies(self) -> None:
        self.at.set_store('slow', 0.5)
        victim = self.at.cluster.processes.find('north-router-1')
        version = self.change(DataCentreEvent.DRAIN)
        victim.kill()
        self.await_version(version)
        self.at.set_store('up')
        north = address_of(self.at, 'north-router-0')
        south = address_of(self.at, 'south-router-0')
        self.assertNotIn(south, self.entries('south-router-0'))
        named = lambda: self.entries('south-router-0') == [north]  # noqa: E731
        self.at.wait(named, 'named alone')
        again = self.at.cluster.start_entry(InstanceRole.ROUTER, 'north', 1)
        self.at.cluster.await_and_list(again)
        self.await_version(version)
        self.await_version(self.change(DataCentreEvent.BRING_BACK))

    def test_peers_confirm_each_other_while_the_store_is_down(self) -> None:
        self.at.set_store('down')
        until_s = time.monotonic() + 2 * SpreadSettings().cut_off_after_s
        while time.monotonic() < until_s:
            self.assertTrue(self.at.all_are(NodePhase.READY, 1))
        self.at.set_store('up')
        self.await_version(self.change(DataCentreEvent.BRING_BACK))
