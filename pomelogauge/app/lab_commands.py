"""Commands of the lab: scenarios, loads, experiments and reports."""

from pathlib import Path
from typing import Any

import click

from ..model.errors import UserError
from .lab_settings import ExperimentSettings, LoadSettings
from .lazy_import import lazy_import
from .setting_options import setting_options, settings_from


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
    options = lazy_import('lab.scenario', 'RunOptions')(seed, folder)
    paths = tuple(map(Path, files))
    if not lazy_import('lab.scenario', 'run_files')(paths, options, click.echo):
        raise UserError('scenarios failed')


@lab.command()
@setting_options(LoadSettings)
def load(**flags: Any) -> None:
    """Send a load and measure what becomes of it."""
    cfg = settings_from(LoadSettings, flags, environment={})
    named = tuple(filter(None, cfg.routers.split(',')))
    options = lazy_import('lab.load_command', 'LoadOptions')(
        cfg.rate,
        cfg.duration,
        cfg.tokens,
        cfg.organisations,
        cfg.seed,
        named,
    )
    measure = lazy_import('lab.load_command', 'measure_load')
    _write(cfg, measure(options, click.echo))


@lab.command()
@setting_options(ExperimentSettings)
def dc(**flags: Any) -> None:
    """Measure service while a data centre leaves and returns."""
    cfg = settings_from(ExperimentSettings, flags, environment={})
    options = lazy_import('lab.experiment_dc', 'DcOptions')(
        cfg.rate, cfg.duration, seed=cfg.seed
    )
    measure = lazy_import('lab.experiment_dc', 'measure_dc')
    _write(cfg, measure(options, click.echo))


@lab.command('report')
@click.option('--json', 'sources', multiple=True, required=True)
@click.option('--out', default='report.html', show_default=True)
def report(sources: tuple[str, ...], out: str) -> None:
    """Render measurements as one HTML page."""
    paths = tuple(map(Path, sources))
    lazy_import('lab.report', 'write_report')(paths, Path(out))
    click.echo(out)


def _write(cfg: ExperimentSettings, measured: object) -> None:
    if cfg.json:
        write = lazy_import('lab.measurement', 'write_measurement')
        write(Path(cfg.json), measured)
        click.echo(cfg.json)
