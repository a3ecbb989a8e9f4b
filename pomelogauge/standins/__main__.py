"""Command line of the stand-ins."""

import click

from .platform import PlatformStandinSettings, run_platform


@click.group()
def main() -> None:
    """Run a stand-in."""


@main.command()
@click.option('--port', default=0)
@click.option('--name', default='platform')
@click.option('--list-lag-s', default=0.5)
def platform(port: int, name: str, list_lag_s: float) -> None:
    """Run the platform's stand-in."""
    run_platform(PlatformStandinSettings(port, name, list_lag_s))


if __name__ == '__main__':
    main()
