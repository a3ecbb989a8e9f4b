"""Processor time and memory of processes that a tool has started."""

import os
from dataclasses import dataclass
from pathlib import Path

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_MIB = 1 << 20
# Positions in the status line of a process, after its name.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_THREADS = 17


@dataclass(frozen=True)
class Usage:
    """What a process has used.

    Parameters
    ----------
    cpu_s
        Processor seconds since its start.
    resident_mib
        Resident memory.
    threads
        Threads at the moment.

    """

    cpu_s: float
    resident_mib: float
    threads: int


def usage_of(pid: int) -> Usage:
    """Return what a process has used so far."""
    folder = Path('/proc') / str(pid)
    status = (folder / 'stat').read_text(encoding='ascii')
    fields = status.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    pages = int((folder / 'statm').read_text(encoding='ascii').split()[1])
    return Usage(
        ticks / _TICKS_PER_S,
        pages * _PAGE_BYTES / _MIB,
        int(fields[_THREADS]),
    )
