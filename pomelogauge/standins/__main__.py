"""Command line of the stand-ins."""

from dataclasses import fields
from typing import Any

import click

from .engine import EngineStandinSettings, run_engine
from .engine_model import EngineLimits
from .engine_task import EngineTimes
from .platform import PlatformStandinSettings, run_platform
from .service import ServiceStandinSettings, run_service


def _options(*records: type) -> list[click.Parameter]:
    return [
        click.Option(
            [f'--{one.name.replace("_", "-")}'],
            default=one.default,
            is_flag=isinstance(one.default, bool),
        )
        for record in records
        for one in fields(record)
        if isinstance(one.default, (bool, int, float, str))
    ]


def _chosen(record: type, options: dict[str, Any]) -> dict[str, Any]:
    names = {one.name for one in fields(record)}
    return {name: given for name, given in options.items() if name in names}


@click.group()
def main() -> None:
    """Run a stand-in."""


@main.command(params=_options(PlatformStandinSettings))
def platform(**options: Any) -> None:
    """Run the platform's stand-in."""
    run_platform(PlatformStandinSettings(**options))


@main.command(params=_options(ServiceStandinSettings))
def service(**options: Any) -> None:
    """Run the stand-in of a plain service."""
    run_service(ServiceStandinSettings(**options))


@main.command(
    params=_options(EngineStandinSettings, EngineLimits, EngineTimes),
)
def engine(**options: Any) -> None:
    """Run stand-ins of model engines."""
    cfg = EngineStandinSettings(
        limits=EngineLimits(**_chosen(EngineLimits, options)),
        times=EngineTimes(**_chosen(EngineTimes, options)),
        **_chosen(EngineStandinSettings, options),
    )
    run_engine(cfg)


if __name__ == '__main__':
    main()
