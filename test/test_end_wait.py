"""The main thread's wait for the end of a process."""

import signal
import threading
import time
import unittest

from pomelogauge.app.end_wait import SIGNAL_POLL_INTERVAL_S, await_end
from pomelogauge.tasks.mailbox import Mailbox
from pomelogauge.tasks.shutdown import ProcessEnd

#: Seconds after which the test gives up.
LIMIT_S = 3.0


class EndWaitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.ended: Mailbox[ProcessEnd] = Mailbox()
        before = signal.signal(
            signal.SIGUSR1,
            lambda number, frame: self.ended.post(ProcessEnd.FINISHED),
        )
        self.addCleanup(signal.signal, signal.SIGUSR1, before)

    def test_a_signal_that_another_thread_gets_is_handled(self) -> None:
        late = threading.Timer(LIMIT_S, self.ended.post, (ProcessEnd.CUT,))
        late.start()
        self.addCleanup(late.cancel)
        threading.Timer(0.2, self.signal_own_thread).start()
        began_s = time.monotonic()
        self.assertIs(await_end(self.ended), ProcessEnd.FINISHED)
        waited_s = time.monotonic() - began_s
        self.assertLess(waited_s, 0.2 + SIGNAL_POLL_INTERVAL_S + 0.5)

    def signal_own_thread(self) -> None:
        signal.pthread_kill(threading.get_ident(), signal.SIGUSR1)
