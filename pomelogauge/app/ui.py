"""The command line."""

import hashlib
import sys
from typing import Any

import click

from ..decide.data_centre_chart import DataCentreEvent
from ..decide.publication import DataCentreChange
from ..model.errors import Finding, FindingsError, Place, UserError
from ..model.ids import Address, DataCentreName
from ..model.manifest import Configuration
from .bench_ui import bench
from .connections import Connections
from .entry_settings import EntryOptions
from .lab_commands import lab
from .late_import import late_import
from .manifest_file import read_manifest
from .operator_settings import DrainSettings, PublishSettings, StatusSettings
from .peer_finder import given_peers, listed_peers
from .publisher import Publisher
from .setting_options import setting_options, settings_from
from .settings import ControllerSettings, RouterSettings
from .settings_page import render_settings_page
from .standin_commands import StandinGroup
from .status import ask_status
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
    checked = read_manifest(manifest)
    publisher = Publisher(to, cfg)
    published = publisher.publish(checked)
    click.echo(f'published version {published.version}')
    _wait(publisher, published, cfg)


@cli.group()
def dc() -> None:
    """Take data centres out of service and bring them back."""


@dc.command()
@click.argument('name')
@setting_options(DrainSettings)
@click.pass_obj
def drain(to: Connections, /, name: str, **flags: Any) -> None:
    """Send no new work to the data centre NAME."""
    cfg = settings_from(DrainSettings, flags)
    publisher = Publisher(to, cfg)
    data_centre = DataCentreName(name)
    if cfg.notice:
        _prepare(publisher, data_centre, cfg.notice)
    drained = publisher.change(
        DataCentreChange(data_centre, DataCentreEvent.DRAIN)
    )
    click.echo(f'{name} is drained, version {drained.version}')
    _wait(publisher, drained, cfg)


@dc.command('return')
@click.argument('name')
@setting_options(PublishSettings)
@click.pass_obj
def bring_back(to: Connections, /, name: str, **flags: Any) -> None:
    """Send work to the data centre NAME again."""
    cfg = settings_from(PublishSettings, flags)
    publisher = Publisher(to, cfg)
    returned = publisher.change(
        DataCentreChange(DataCentreName(name), DataCentreEvent.BRING_BACK)
    )
    click.echo(f'{name} is in service, version {returned.version}')
    _wait(publisher, returned, cfg)


@cli.command()
@setting_options(StatusSettings)
@click.pass_obj
def status(to: Connections, /, **flags: Any) -> None:
    """Print what peers say of themselves."""
    cfg = settings_from(StatusSettings, flags)
    peers = given_peers(cfg.peer_addresses)
    if not peers:
        if not cfg.platform:
            message = 'is required without --platform'
            raise FindingsError([Finding(Place('--peers'), message)])
        platform = to.platform(Address(cfg.platform), cfg.platform_timeout_s)
        peers = listed_peers(platform)
    links = to.links(cfg.peer_timeout_s)
    silent = 0
    for answered in ask_status(links, peers):
        silent += int(answered.is_silent)
        for line in answered.lines:
            click.echo(line)
    if silent and not cfg.allow_silent:
        raise UserError(f'{silent} of {len(peers)} peers do not answer')


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
@setting_options(EntryOptions)
def entry(**flags: Any) -> None:
    """Run an entry instance on the users' platform."""
    options = settings_from(EntryOptions, flags)
    late_import('app.entry_root', 'run_entry')(options)


@cli.command()
def demo() -> None:
    """Run the whole path on embedded stand-ins."""
    late_import('lab.demo', 'run_demo')()


@cli.command('hash-key')
def hash_key() -> None:
    """Print the hash of a caller's key read from standard input."""
    key = sys.stdin.buffer.read().rstrip(b'\r\n')
    if not key:
        raise UserError('standard input holds no key')
    click.echo(hashlib.sha256(key).hexdigest())


@cli.command('charts-page')
def charts_page() -> None:
    """Print the diagrams of all state charts in Markdown."""
    render = late_import('charts.diagram', 'render_charts_page')
    click.echo(render(), nl=False)


@cli.command('settings-page')
def settings_page() -> None:
    """Print the page of all settings in Markdown."""
    click.echo(render_settings_page(), nl=False)


cli.add_command(lab)
cli.add_command(bench)
cli.add_command(
    StandinGroup(
        'standin',
        help='Run a stand-in of a system outside the project.',
    )
)


def _prepare(
    publisher: Publisher,
    name: DataCentreName,
    notice_s: float,
) -> None:
    """Have capacity made ready elsewhere and wait for it."""
    prepared = publisher.change(
        DataCentreChange(name, DataCentreEvent.ANNOUNCE)
    )
    click.echo(f'{name} is prepared, version {prepared.version}')
    for short in publisher.wait_for_capacity(prepared, notice_s):
        click.echo(f'the notice is over: {short}')


def _wait(
    publisher: Publisher,
    published: Configuration,
    cfg: PublishSettings,
) -> None:
    if cfg.wait:
        publisher.wait_in_force(published.version, cfg.wait_limit_s)
        click.echo(f'version {published.version} is in force')
