"""Runs all tests and prints a closing line."""

import sys
import unittest


def main() -> int:
    """Run the tests below this folder."""
    suite = unittest.defaultTestLoader.discover('test', top_level_dir='.')
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    bad = len(outcome.failures) + len(outcome.errors)
    skipped = len(outcome.skipped)
    good = outcome.testsRun - bad - skipped
    print(f'{good} passed, {bad} failed, {skipped} skipped')
    return int(bad > 0 or outcome.testsRun == 0)


if __name__ == '__main__':
    sys.exit(main())
