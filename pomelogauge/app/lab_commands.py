"""Commands of the lab: scenarios, loads, experiments and reports."""

from pathlib import Path

import click

from ..model.errors import UserError
from .late_import import late_import


@click.group()
def lab() -> None:
    """Prove and measure on stand-ins."""


@lab.command('run')
@click.argument('files', nargs=-1, required=True)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option('--record', help='Folder that keeps records and logs.')
def run(files: tuple[str, ...], seed: int, record: str | None) -> None:
    """Run the scenarios in FILES or in the folders named."""
    folder = Path(record) if record else None
    options = late_import('lab.scenario', 'RunOptions')(seed, folder)
    paths = tuple(map(Path, files))
    if not late_import('lab.scenario', 'run_files')(paths, options, click.echo):
        raise UserError('scenarios failed')
