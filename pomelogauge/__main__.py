"""Entry point of the command line."""

import signal
import sys

#: Commands that run until they are asked to end.
_DAEMONS = frozenset(('entry', 'router', 'controller'))


def main() -> None:
    """Run the command line and end the process with its exit code."""
    if _DAEMONS.intersection(sys.argv[1:2]):
        # A SIGHUP before a daemon has installed its handler must not end it;
        # the settings are read during the start anyway.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .app.ui import cli  # noqa: PLC0415 - takes longer than a signal

    cli(prog_name='pomelogauge')


if __name__ == '__main__':
    main()
