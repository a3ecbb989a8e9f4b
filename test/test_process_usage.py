"""Tests of the processor time and memory of processes."""

import os
import unittest

from pomelogauge.lab.process_usage import usage_of


class ProcessUsageTest(unittest.TestCase):
    def test_reads_the_own_process(self) -> None:
        before = usage_of(os.getpid())
        while usage_of(os.getpid()).cpu_s <= before.cpu_s:
            sum(range(10_000))
        self.assertGreater(before.resident_mib, 1)
