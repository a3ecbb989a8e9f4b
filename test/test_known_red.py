"""Tests of the list of tests that fail for a known fault."""

import tempfile
import unittest
from pathlib import Path

from .known_red import read_known_red, unexpected


class KnownRedTest(unittest.TestCase):
    """A failure that is not listed must fail the test run."""

    def test_only_listed_failures_are_expected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'red.txt')
            path.write_text('# comment\n\na.b | run | seen | issue\n')
            known = read_known_red(path)
            self.assertEqual(unexpected(['a.b', 'a.c'], known), ('a.c',))
            path.write_text('a.b | run | | issue\n')
            self.assertRaises(ValueError, read_known_red, path)

    def test_the_file_at_the_root_is_readable(self) -> None:
        read_known_red()


if __name__ == '__main__':
    unittest.main()
