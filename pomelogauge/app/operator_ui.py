"""Commands of the operators."""

from typing import Any

import click

from ..decide.data_centre_chart import DataCentreEvent
from ..decide.publication import DataCentreChange
from ..model.errors import Finding, FindingsError, SourceLocation, UserError
from ..model.ids import Address, DataCentreName
from ..model.manifest import Configuration
from .connections import Connections
from .manifest_file import read_manifest
from .operator_settings import DrainSettings, PublishSettings, StatusSettings
from .peer_finder import given_peers, listed_peers
from .publisher import Publisher
from .setting_options import setting_options, settings_from
from .status import query_status

_pass_connections = click.make_pass_decorator(Connections, ensure=True)


@click.command()
@click.argument('manifest')
def check(manifest: str) -> None:
    """Check the file MANIFEST and print every finding."""
    read_manifest(manifest)
    click.echo(f'{manifest}: no findings')


@click.command()
@click.argument('manifest')
@setting_options(PublishSettings)
@_pass_connections
def publish(to: Connections, /, manifest: str, **flags: Any) -> None:
    """Check the file MANIFEST and publish it as the next version."""
    cfg = settings_from(PublishSettings, flags)
    checked = read_manifest(manifest)
    publisher = Publisher(to, cfg)
    published = publisher.publish(checked)
    click.echo(f'published version {published.version}')
    _wait(publisher, published, cfg)


@click.group()
def dc() -> None:
    """Take data centres out of service and bring them back."""


@dc.command()
@click.argument('name')
@setting_options(DrainSettings)
@_pass_connections
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
@_pass_connections
def bring_back(to: Connections, /, name: str, **flags: Any) -> None:
    """Send work to the data centre NAME again."""
    cfg = settings_from(PublishSettings, flags)
    publisher = Publisher(to, cfg)
    returned = publisher.change(
        DataCentreChange(DataCentreName(name), DataCentreEvent.BRING_BACK)
    )
    click.echo(f'{name} is in service, version {returned.version}')
    _wait(publisher, returned, cfg)


@click.command()
@setting_options(StatusSettings)
@_pass_connections
def status(to: Connections, /, **flags: Any) -> None:
    """Print what peers say of themselves."""
    cfg = settings_from(StatusSettings, flags)
    peers = given_peers(cfg.peer_addresses)
    if not peers:
        if not cfg.platform:
            message = 'is required without --platform'
            raise FindingsError([Finding(SourceLocation('--peers'), message)])
        platform = to.platform(Address(cfg.platform), cfg.platform_timeout_s)
        peers = listed_peers(platform)
    links = to.links(cfg.peer_timeout_s)
    silent = 0
    for answered in query_status(links, peers):
        silent += int(answered.is_silent)
        for line in answered.lines:
            click.echo(line)
    if silent and not cfg.allow_silent:
        raise UserError(f'{silent} of {len(peers)} peers do not answer')


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
