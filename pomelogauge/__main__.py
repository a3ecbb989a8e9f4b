"""Entry point of the command line."""

from .app.ui import cli


def main() -> None:
    """Run the command line and end the process with its exit code."""
    cli(prog_name='pomelogauge')


if __name__ == '__main__':
    main()
