"""The command line."""

import gc
import hashlib
import sys
from typing import Any

import click

from ..model.errors import UserError
from .entry_settings import EntryOptions
from .lazy_group import LazyGroup
from .lazy_import import lazy_import
from .setting_options import setting_options, settings_from
from .standin_commands import StandinGroup

#: Modules of the commands that an entry instance does not need.
_LATE = {
    'bench': 'app.bench_ui',
    'check': 'app.operator_ui',
    'controller': 'app.daemon_commands',
    'dc': 'app.operator_ui',
    'lab': 'app.lab_commands',
    'publish': 'app.operator_ui',
    'router': 'app.daemon_commands',
    'status': 'app.operator_ui',
}


@click.group(cls=LazyGroup, late=_LATE)
def cli() -> None:
    """Serve models that span several instances."""


@cli.command()
@setting_options(EntryOptions)
def entry(**flags: Any) -> None:
    """Run an entry instance on the users' platform."""
    options = settings_from(EntryOptions, flags)
    # A collection during the start frees nothing; the task set turns
    # collections on again.
    gc.disable()
    lazy_import('app.entry_root', 'run_entry')(options)


@cli.command()
def demo() -> None:
    """Run the whole path on embedded stand-ins."""
    lazy_import('lab.demo', 'run_demo')()


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
    render = lazy_import('charts.diagram', 'render_charts_page')
    click.echo(render(), nl=False)


@cli.command('settings-page')
def settings_page() -> None:
    """Print the page of all settings in Markdown."""
    render = lazy_import('app.settings_page', 'render_settings_page')
    click.echo(render(), nl=False)


cli.add_command(
    StandinGroup(
        'standin',
        help='Run a stand-in of a system outside the project.',
    )
)
