"""Waits in the main thread until the process may end."""

from ..tasks.mailbox import Mailbox
from ..tasks.shutdown import ProcessEnd

#: Seconds between two looks of the main thread for signals; their handlers
#: run there.
SIGNAL_POLL_INTERVAL_S = 0.2


def await_end(ended: Mailbox[ProcessEnd]) -> ProcessEnd:
    """Wait for the end, and let the handlers of signals run.

    A signal that the kernel gives to another thread does not wake this one.
    """
    end = None
    while end is None:
        end = ended.take(SIGNAL_POLL_INTERVAL_S)
    return end
