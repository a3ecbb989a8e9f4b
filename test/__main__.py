"""Runs all tests and prints a closing line."""

import sys
import unittest

from .known_red import KnownRed, read_known_red, unexpected


def main() -> int:
    """Run the tests below this folder."""
    known = read_known_red()
    suite = unittest.defaultTestLoader.discover('test', top_level_dir='.')
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = [test.id() for test, _ in (*outcome.failures, *outcome.errors)]
    skipped = len(outcome.skipped)
    good = outcome.testsRun - len(failed) - skipped
    bad = unexpected(failed, known)
    _print_known(known, failed)
    red = len(failed) - len(bad)
    print(f'{red} known red, listed in KNOWN-RED.txt')
    print(f'{good} passed, {len(bad)} failed, {skipped} skipped')
    return int(bool(bad) or outcome.testsRun == 0)


def _print_known(known: tuple[KnownRed, ...], failed: list[str]) -> None:
    for entry in known:
        verdict = 'known red' if entry.test in failed else 'passes now'
        print(f'{verdict}: {entry}')


if __name__ == '__main__':
    sys.exit(main())
