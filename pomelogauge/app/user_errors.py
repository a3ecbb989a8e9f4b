"""Shows errors to the user as lines on standard error."""

import errno
import logging
from typing import IO, Any

import click

from ..model.errors import FindingsError, UserError

#: Exit code after an unexpected exception.
_INTERNAL_CODE = 70

_log = logging.getLogger(__name__)


class ReportedError(click.ClickException):
    """Lines for the user and the exit code of the command."""

    def __init__(self, lines: tuple[str, ...], exit_code: int) -> None:
        """Take the lines to print."""
        super().__init__('\n'.join(lines))
        # The library reads the code from the instance, whatever its stub says.
        self.exit_code = exit_code  # type: ignore[misc]
        self._lines = lines

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the lines on standard error."""
        for line in self._lines:
            click.echo(line, file=file, err=True)


class ReportingGroup(click.Group):
    """A group of commands whose errors become lines, never a traceback."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except UserError as exc:
            raise ReportedError(_lines(exc), exc.exit_code) from exc
        except (click.ClickException, click.Abort, click.exceptions.Exit):
            raise
        except Exception as exc:
            raise _internal(exc) from exc


def _lines(exc: UserError) -> tuple[str, ...]:
    if isinstance(exc, FindingsError):
        return tuple(_one_line(finding) for finding in exc.findings)
    return (f'pomelogauge: {_one_line(exc)}',)


def _internal(exc: Exception) -> Exception:
    # click ends the command without a message on a broken pipe.
    if isinstance(exc, OSError) and exc.errno == errno.EPIPE:
        return exc
    _log.debug('command failed', exc_info=exc)
    message = f'pomelogauge: internal error: {type(exc).__name__}: {exc}'
    return ReportedError((_one_line(message),), _INTERNAL_CODE)


def _one_line(message: object) -> str:
    return ' '.join(str(message).split('\n'))
