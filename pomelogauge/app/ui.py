"""The command line."""

import hashlib
import sys
from typing import Any

import click

from ..decide.publication import DrainChange
from ..model.errors import Finding, FindingsError, Place, UserError
from ..model.ids import DataCentreName
from ..platform.configuration_store import ConfigurationStore
from ..tasks.clock import MonotonicClock
from .connections import Connections
from .late_import import late_import
from .manifest_file import read_manifest
from .operator_settings import DrainSettings, PublishSettings, StatusSettings
from .publish import publish_change, publish_manifest, wait_in_force
from .setting_options import setting_options, settings_from
from .settings import ControllerSettings, RouterSettings
from .settings_page import render_settings_page
from .standin_commands import StandinGroup
from .status import status_lines
from .user_errors import ReportingGroup


@click.group(cls=ReportingGroup)
@click.pass_context
def cli(ctx: click.Context) -> None:
    """Serve models that span several instances."""
    ctx.ensure_object(Connections)


@cli.command()
@click.argument('manifest')
def check(manifest: str) -> None:
    """Check the file MANIFEST and print every finding."""
    read_manifest(manifest)
    click.echo(f'{manifest}: no findings')


@cli.command()
@click.argument('manifest')
@setting_options(PublishSettings)
@click.pass_obj
def publish(to: Connections, /, manifest: str, **flags: Any) -> None:
    """Check the file MANIFEST and publish it as the next version."""
    cfg = settings_from(PublishSettings, flags)
    if cfg.wait and not cfg.peer_addresses:
        finding = Finding(Place('--peers'), 'is required with --wait')
        raise FindingsError([finding])
    checked = read_manifest(manifest)
    # Links come first, so that nothing is published that can't be awaited.
    links = to.links(cfg.peer_timeout_s) if cfg.wait else None
    store = _store(to, cfg)
    published = publish_manifest(store, checked, cfg.publisher_name)
    click.echo(f'published version {published.version}')
    if links:
        wait_in_force(
            links,
            cfg.peer_addresses,
            published.version,
            MonotonicClock(),
            cfg.wait_limit_s,
        )
        click.echo(f'version {published.version} is in force')


@cli.group()
def dc() -> None:
    """Take data centres out of service and bring them back."""


@dc.command()
@click.argument('name')
@setting_options(DrainSettings)
@click.pass_obj
def drain(to: Connections, /, name: str, **flags: Any) -> None:
    """Send no new work to the data centre NAME."""
    _change(to, DrainChange(DataCentreName(name), drained=True), flags)


@dc.command('return')
@click.argument('name')
@setting_options(DrainSettings)
@click.pass_obj
def bring_back(to: Connections, /, name: str, **flags: Any) -> None:
    """Send work to the data centre NAME again."""
    _change(to, DrainChange(DataCentreName(name), drained=False), flags)


@cli.command()
@setting_options(StatusSettings)
@click.pass_obj
def status(to: Connections, /, **flags: Any) -> None:
    """Print what peers say of themselves."""
    cfg = settings_from(StatusSettings, flags)
    if not cfg.peer_addresses:
        raise FindingsError([Finding(Place('--peers'), 'is required')])
    links = to.links(cfg.peer_timeout_s)
    for line in status_lines(links, cfg.peer_addresses):
        click.echo(line)


@cli.command()
@setting_options(RouterSettings)
def router(**flags: Any) -> None:
    """Run a router."""
    settings = settings_from(RouterSettings, flags)
    late_import('app.root', 'run_router')(settings)


@cli.command()
@setting_options(ControllerSettings)
def controller(**flags: Any) -> None:
    """Run a controller."""
    settings = settings_from(ControllerSettings, flags)
    late_import('app.root', 'run_controller')(settings)


@cli.command()
def demo() -> None:
    """Run the whole path on embedded stand-ins."""
    late_import('lab.demo', 'run_demo')()


@cli.group()
def bench() -> None:
    """Measure parts of the system on stand-ins."""


@bench.command('relay')
@click.option('--json', 'json_path', default='', help='File for all figures.')
@click.option('--seed', default=1, help='Seed of the load.')
def bench_relay(json_path: str, seed: int) -> None:
    """Measure what a router adds to the streams that it relays."""
    click.echo(late_import('lab.bench_relay', 'run_bench')(seed, json_path))


@bench.command('policy')
@click.option('--json', 'json_path', default='', help='File for all figures.')
@click.option('--seed', default=1, help='Seed of the arrivals.')
def bench_policy(json_path: str, seed: int) -> None:
    """Compare ways to choose a replica, in fake time."""
    click.echo(late_import('lab.bench_policy', 'run_bench')(seed, json_path))


@cli.command('hash-key')
def hash_key() -> None:
    """Print the hash of a caller's key read from standard input."""
    key = sys.stdin.buffer.read().rstrip(b'\r\n')
    if not key:
        raise UserError('standard input holds no key')
    click.echo(hashlib.sha256(key).hexdigest())


@cli.command('settings-page')
def settings_page() -> None:
    """Print the page of all settings in Markdown."""
    click.echo(render_settings_page(), nl=False)


cli.add_command(
    StandinGroup(
        'standin',
        help='Run a stand-in of a system outside the project.',
    )
)


def _change(to: Connections, change: DrainChange, flags: Any) -> None:
    cfg = settings_from(DrainSettings, flags)
    store = _store(to, cfg)
    published = publish_change(store, change, cfg.publisher_name)
    state = 'drained' if change.drained else 'in service'
    click.echo(f'{change.data_centre} is {state}, version {published.version}')


def _store(to: Connections, cfg: DrainSettings) -> ConfigurationStore:
    return ConfigurationStore(to.platform(cfg.platform, cfg.platform_timeout_s))
