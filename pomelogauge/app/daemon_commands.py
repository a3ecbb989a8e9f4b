"""Commands that run the daemons with an interface of their own."""

from typing import Any

import click

from .lazy_import import lazy_import
from .setting_options import setting_options, settings_from
from .settings import ControllerSettings, RouterSettings


@click.command()
@setting_options(RouterSettings)
def router(**flags: Any) -> None:
    """Run a router."""
    settings = settings_from(RouterSettings, flags)
    lazy_import('app.root', 'run_router')(settings)


@click.command()
@setting_options(ControllerSettings)
def controller(**flags: Any) -> None:
    """Run a controller."""
    settings = settings_from(ControllerSettings, flags)
    lazy_import('app.root', 'run_controller')(settings)
