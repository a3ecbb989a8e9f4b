"""Tests of the command line."""

import subprocess
import sys
import unittest
from dataclasses import replace
from pathlib import Path

from click.testing import CliRunner, Result
from returns.result import Failure, Success

from pomelogauge.app.connections import Connections
from pomelogauge.app.settings_page import render_settings_page
from pomelogauge.app.ui import cli
from pomelogauge.model.ids import (
    Address,
    ConfigVersion,
    DataCentreName,
    Incarnation,
    NodeName,
)
from pomelogauge.model.manifest import Configuration
from pomelogauge.model.peers import NodeReport
from pomelogauge.model.topology import InstanceRole
from pomelogauge.standins.memory_platform import MemoryPlatform
from pomelogauge.tables.configuration_store import ConfigurationStore
from pomelogauge.tables.protocols import PlatformError, PlatformFault
from pomelogauge.tasks.links import LinkError
from pomelogauge.tasks.messages import NodeStatus

from .test_membership import listed

GOOD = 'docs/examples/manifest.yaml'
BROKEN = 'docs/examples/broken.yaml'
PLATFORM = ('--platform', '127.0.0.1:9', '--publisher', 'ada')


class FakeLinks:
    """Peers that report scripted versions in turn, then the last one."""

    def __init__(self, *versions: int) -> None:
        self.versions = list(versions)
        self.pushed: list[str] = []

    def push(self, address: Address, document: object) -> object:
        self.pushed.append(address)
        return Failure(LinkError(address, 'refused'))

    def status(self, address: Address) -> object:
        if address == 'dead:1':
            return Failure(LinkError(address, 'refused'))
        version = self.versions[0]
        if len(self.versions) > 1:
            self.versions.pop(0)
        report = NodeReport(
            NodeName('r1'),
            InstanceRole.ROUTER,
            Incarnation('i'),
            1,
            DataCentreName('klang-1'),
            Address('127.0.0.1:1'),
            address,
            ConfigVersion(version),
        )
        return Success(NodeStatus(report, ()))


class UiTest(unittest.TestCase):
    """Commands against a platform and peers in memory."""

    def setUp(self) -> None:
        self.platform = MemoryPlatform()
        self.store = ConfigurationStore(self.platform)
        self.links = FakeLinks(0, 0, 1)

    def run_cli(self, *args: str, stdin: str | None = None) -> Result:
        to = Connections(
            platform=lambda address, timeout_s: self.platform,
            links=lambda timeout_s: self.links,  # type: ignore[arg-type]
        )
        return CliRunner().invoke(cli, args, obj=to, input=stdin)

    def test_a_broken_manifest_shows_all_findings(self) -> None:
        for args in (('check', BROKEN), ('publish', BROKEN, *PLATFORM)):
            outcome = self.run_cli(*args)
            self.assertEqual(outcome.exit_code, 2)
            self.assertEqual(len(outcome.stderr.splitlines()), 9)
        self.assertIsNone(self.store.newest().unwrap())

    def test_publish_and_wait(self) -> None:
        wait = ('--wait', '--peers', '127.0.0.1:2')
        outcome = self.run_cli('publish', GOOD, *PLATFORM, *wait)
        self.assertEqual(outcome.stderr, '')
        self.assertIn('version 1 is in force', outcome.stdout)
        lost = ('--wait', '--peers', 'dead:1', '--wait-limit-s', '0.01')
        outcome = self.run_cli('publish', GOOD, *PLATFORM, *lost)
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn('not in force at dead:1 (no answer)', outcome.stderr)

    def test_listed_peers_get_the_version_and_are_awaited(self) -> None:
        self.platform.listed = (
            listed('r1'),
            replace(listed('dead'), peer_address=Address('dead:1')),
            replace(listed('leaving'), leaving=True),
        )
        outcome = self.run_cli('publish', GOOD, *PLATFORM, '--wait')
        # No live process reports the dead one any more.
        self.assertIn('version 1 is in force', outcome.stdout)
        self.assertCountEqual(self.links.pushed, ('r1:90', 'dead:1'))
        outcome = self.run_cli('status', *PLATFORM[:2])
        self.assertIn('dead: no answer', outcome.stdout)
        self.assertEqual(outcome.exit_code, 1)

    def test_drain_with_notice_announces_first(self) -> None:
        self.run_cli('publish', GOOD, *PLATFORM)
        before = self.newest()
        notice = ('--notice', '0.01')
        outcome = self.run_cli('dc', 'drain', 'klang-2', *notice, *PLATFORM)
        self.assertIn('klang-2 is prepared, version 2\n', outcome.stdout)
        self.assertIn('are warm elsewhere', outcome.stdout)
        self.assertIn('klang-2 is drained, version 3\n', outcome.stdout)
        drained = replace(before, version=3, drained=('klang-2',))
        self.assertEqual(self.newest(), drained)

    def test_drain_and_return(self) -> None:
        self.run_cli('publish', GOOD, *PLATFORM)
        for _ in range(2):
            outcome = self.run_cli('dc', 'drain', 'klang-2', *PLATFORM)
            self.assertEqual(outcome.stdout, 'klang-2 is drained, version 2\n')
        self.assertEqual(self.newest().drained, ('klang-2',))
        # A new manifest does not put a data centre back into service.
        self.run_cli('publish', GOOD, *PLATFORM)
        self.assertEqual(self.newest().drained, ('klang-2',))
        outcome = self.run_cli('dc', 'return', 'klang-2', *PLATFORM)
        self.assertIn('version 4', outcome.stdout)
        self.assertEqual(self.newest().drained, ())
        outcome = self.run_cli('dc', 'drain', 'klang-9', *PLATFORM)
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn('klang-9 is unknown', outcome.stderr)

    def test_racing_drains_both_take_effect(self) -> None:
        self.run_cli('publish', GOOD, *PLATFORM)
        read = self.platform.get

        def read_then_lose(name: str) -> object:
            self.platform.get = read  # type: ignore[method-assign]
            self.run_cli('dc', 'drain', 'klang-1', *PLATFORM)
            return read(name)

        self.platform.get = read_then_lose  # type: ignore
        self.run_cli('dc', 'drain', 'klang-2', *PLATFORM)
        self.assertEqual(self.newest().drained, ('klang-1', 'klang-2'))

    def test_invalid_flags_are_all_reported(self) -> None:
        outcome = self.run_cli('router', '--port', 'x', '--renewal-s', '0')
        self.assertEqual(outcome.exit_code, 2)
        self.assertEqual(len(outcome.stderr.splitlines()), 5)
        self.assertIn("--port: 'x' is no whole number", outcome.stderr)
        self.assertEqual(self.run_cli('router', '--spam').exit_code, 2)
        outcome = self.run_cli('status')
        self.assertIn('--peers: is required without', outcome.stderr)

    def test_unavailable_platform_is_reported_as_one_line(self) -> None:
        self.platform.fault = PlatformError(
            PlatformFault.UNAVAILABLE, 'connection refused'
        )
        for args in (('publish', GOOD), ('dc', 'drain', 'klang-1')):
            outcome = self.run_cli(*args, *PLATFORM)
            self.assertEqual(outcome.exit_code, 1)
            self.assertEqual(
                outcome.stderr,
                'pomelogauge: platform unavailable: connection refused\n',
            )

    def test_internal_error_is_printed_as_one_line(self) -> None:
        self.platform.read = None  # type: ignore
        outcome = self.run_cli('publish', GOOD, *PLATFORM)
        self.assertEqual(outcome.exit_code, 70)
        self.assertEqual(len(outcome.stderr.splitlines()), 1)

    def test_status_names_peers_that_do_not_answer(self) -> None:
        outcome = self.run_cli('status', '--peers', '127.0.0.1:2, dead:1')
        self.assertIn('r1: router in klang-1', outcome.stdout)
        self.assertIn('dead:1: no answer: refused', outcome.stdout)
        self.assertEqual(outcome.exit_code, 1)
        self.assertIn('1 of 2 peers do not answer', outcome.stderr)
        allowed = ('--allow-silent', '--peers', 'dead:1')
        self.assertEqual(self.run_cli('status', *allowed).exit_code, 0)

        outcome = self.run_cli('status', '--peers', 'a:1,b')
        self.assertEqual(outcome.exit_code, 2)
        self.assertIn('is no list of host:port', outcome.stderr)

    def test_hashes_a_key_without_its_line_end(self) -> None:
        hashed = self.run_cli('hash-key', stdin='counter-demo-key\n').stdout
        self.assertIn(hashed.strip(), Path(GOOD).read_text())
        self.assertEqual(self.run_cli('hash-key', stdin='\n').exit_code, 1)

    def test_the_settings_page_is_up_to_date(self) -> None:
        page = Path('docs/settings.md').read_text()
        self.assertEqual(page, render_settings_page())

    def test_operators_commands_start_without_servers(self) -> None:
        code = (
            'import sys, pomelogauge.app.operator_ui; '
            'sys.exit(len({"grpc", "cheroot"} & set(sys.modules)))'
        )
        ended = subprocess.run([sys.executable, '-c', code], check=False)
        self.assertEqual(ended.returncode, 0)

    def test_daemons_start_without_the_operators_commands(self) -> None:
        heavy = '{"grpc", "cheroot", "jsonschema", "urllib3"}'
        code = (
            'import sys, pomelogauge.app.ui; '
            f'sys.exit(len({heavy} & set(sys.modules)))'
        )
        ended = subprocess.run([sys.executable, '-c', code], check=False)
        self.assertEqual(ended.returncode, 0)

    def newest(self) -> Configuration:
        newest = self.store.newest().unwrap()
        assert newest is not None
        return newest
