"""A group of commands that are imported when they are asked for."""

from collections.abc import Mapping
from typing import Any

import click

from .lazy_import import lazy_import
from .user_errors import ReportingGroup


class LazyGroup(ReportingGroup):
    """Imports the module of a command with its first use.

    Parameters
    ----------
    late
        Module of each late command, which has the command's name there.

    """

    def __init__(
        self,
        *args: Any,
        late: Mapping[str, str],
        **attributes: Any,
    ) -> None:
        """Import nothing yet."""
        super().__init__(*args, **attributes)
        self._late = late

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *self._late})

    def get_command(
        self,
        ctx: click.Context,
        cmd_name: str,
    ) -> click.Command | None:
        """Return a command."""
        module = self._late.get(cmd_name)
        if module is None:
            return super().get_command(ctx, cmd_name)
        command: click.Command = lazy_import(module, cmd_name)
        return command
