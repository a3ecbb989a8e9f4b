"""Commands that run stand-ins, built from their settings records."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import click

from .lazy_import import lazy_import
from .setting_options import parameters, settings_from


@dataclass(frozen=True)
class Standin:
    """Where a stand-in's settings and its function are found."""

    module: str
    settings: str
    run: str


_STANDINS: Mapping[str, Standin] = {
    'platform': Standin(
        'standins.platform', 'PlatformStandinSettings', 'run_platform'
    ),
    'engine': Standin('standins.engine', 'EngineStandinSettings', 'run_engine'),
    'service': Standin(
        'standins.service', 'ServiceStandinSettings', 'run_service'
    ),
}


class StandinGroup(click.Group):
    """Imports a stand-in when its command is asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of the stand-ins."""
        return list(_STANDINS)

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Return the command of one stand-in."""
        standin = _STANDINS.get(cmd_name)
        return _command(cmd_name, standin) if standin else None


def _command(name: str, standin: Standin) -> click.Command:
    record = lazy_import(standin.module, standin.settings)

    def run(**flags: Any) -> None:
        # Stand-ins run beside daemons whose variables are not theirs.
        settings = settings_from(record, flags, environment={})
        lazy_import(standin.module, standin.run)(settings)

    return click.Command(
        name,
        params=parameters(record),
        callback=run,
        help=f'Run a stand-in of the {name}; its settings are flags only.',
    )
