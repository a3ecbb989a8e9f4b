"""What the start of an entry instance loads."""

import subprocess
import sys
import unittest

#: Modules of the routers, the controllers and the operators' commands.
FOREIGN = frozenset(
    (
        'pomelogauge.app.settings',
        'pomelogauge.model.manifest',
        'pomelogauge.model.peers',
        'pomelogauge.model.placement',
        'pomelogauge.model.request',
        'pomelogauge.tasks.messages',
    )
)
SCRIPT = """
import sys
import pomelogauge.app.ui
import pomelogauge.app.entry_root
print(*sys.modules)
"""


class EntryStartTest(unittest.TestCase):
    """Guards that hundreds of instances start without unused code."""

    def test_loads_no_module_of_other_daemons(self) -> None:
        finished = subprocess.run(
            [sys.executable, '-c', SCRIPT],
            capture_output=True,
            check=True,
            text=True,
        )
        loaded = frozenset(finished.stdout.split())
        self.assertIn('pomelogauge.entry.owner', loaded)
        self.assertEqual(loaded & FOREIGN, frozenset())
