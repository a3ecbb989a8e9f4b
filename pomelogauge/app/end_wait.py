"""Waits in the main thread until the process may exit."""

from ..tasks.mailbox import Mailbox
from ..tasks.shutdown import ProcessEnd

#: Longest wait of the main thread in seconds, after which pending signal
#: handlers run; Python runs them in the main thread only.
SIGNAL_POLL_INTERVAL_S = 0.2


def await_end(ended: Mailbox[ProcessEnd]) -> ProcessEnd:
    """Wait for the end of the process while signal handlers can run.

    A signal that the kernel delivers to another thread does not wake the
    main thread, so it wakes by itself every ``SIGNAL_POLL_INTERVAL_S``.
    """
    end = None
    while end is None:
        end = ended.take(SIGNAL_POLL_INTERVAL_S)
    return end
