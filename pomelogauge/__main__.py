"""Entry point of the command line."""

import signal
import sys

#: Commands that run until they are asked to end.
_DAEMONS = frozenset(('entry', 'router', 'controller'))


def main() -> None:
    """Run the command line and end the process with its exit code."""
    if _DAEMONS.intersection(sys.argv[1:2]):
        # Settings are read at the start anyway; until a daemon handles the
        # signal, one that comes early must not end it.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .app.ui import cli  # noqa: PLC0415 - takes longer than a signal

    cli(prog_name='pomelogauge')


if __name__ == '__main__':
    main()
