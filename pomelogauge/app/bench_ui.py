"""The commands that measure the system."""

from pathlib import Path

import click

from .lazy_import import lazy_import


@click.group()
def bench() -> None:
    """Measure the system on embedded stand-ins."""


@bench.command('config')
@click.option('--json', 'json_path', default='', help='File for the result.')
@click.option('--publications', default=100, help='How many versions.')
@click.option('--limit-s', default=75.0, help='When the last one may begin.')
@click.option('--seed', default=1, help='Seed of the choice of processes.')
def bench_config(
    json_path: str,
    publications: int,
    limit_s: float,
    seed: int,
) -> None:
    """Measure until when a published version is in force everywhere."""
    spec = lazy_import('lab.bench_config', 'ConfigBenchSpec')(
        publications=publications, limit_s=limit_s, seed=seed
    )
    lazy_import('lab.bench_config', 'bench_config')(spec, json_path)


@bench.command('relay')
@click.option('--json', 'json_path', default='', help='File for all figures.')
@click.option('--seed', default=1, help='Seed of the load.')
def bench_relay(json_path: str, seed: int) -> None:
    """Measure what a router adds to the streams that it relays."""
    click.echo(lazy_import('lab.bench_relay', 'run_bench')(seed, json_path))


@bench.command('faults')
@click.option('--faults', default=40, help='How many faults.')
@click.option('--seed', default=1, help='Of the faults and the load.')
@click.option('--rate-per-s', default=24.0, help='Requests a second.')
@click.option('--json', 'json_path', default='', help='File for the figures.')
def bench_faults(
    faults: int,
    seed: int,
    rate_per_s: float,
    json_path: str,
) -> None:
    """Do random faults under load and check every promise to callers."""
    plan = lazy_import('lab.bench_faults', 'FaultPlan')
    run = lazy_import('lab.bench_faults', 'bench_faults')
    run(plan(faults, seed, rate_per_s), json_path, click.echo)


@bench.command('once')
def bench_once() -> None:
    """Call what may not be repeated, with the table service up and down."""
    lazy_import('lab.bench_once', 'bench_once')(click.echo)


@bench.command('capacity')
@click.option('--json', 'json_path', default='', help='File for the figures.')
def bench_capacity(json_path: str) -> None:
    """Measure what idle routers and controllers cost at several sizes."""
    lazy_import('lab.bench_capacity', 'bench_capacity')(json_path, click.echo)


@bench.command('replicas')
@click.option('--json', 'path', type=click.Path(), help='Write the report.')
@click.option('--losses', default=4, show_default=True, help='Lost members.')
def bench_replicas(path: str | None, losses: int) -> None:
    """Measure downtime after losses and the load on the platform."""
    report = lazy_import('lab.bench_replicas', 'measure_replicas')(losses)
    if path:
        write = lazy_import('lab.bench_replicas', 'write_report')
        write(report, Path(path))
    click.echo(str(report))


@bench.command('policy')
@click.option('--json', 'json_path', default='', help='File for all figures.')
@click.option('--seed', default=1, help='Seed of the arrivals.')
def bench_policy(json_path: str, seed: int) -> None:
    """Compare ways to choose a replica, in fake time."""
    click.echo(lazy_import('lab.bench_policy', 'run_bench')(seed, json_path))
