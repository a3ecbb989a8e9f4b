"""What a process uses, as the operating system counts it."""

import os
import subprocess
from dataclasses import dataclass

_BYTES_SENT = 'bytes_sent:'
_BYTES_RECEIVED = 'bytes_received:'


@dataclass(frozen=True)
class Usage:
    """What a process has used since it started.

    Parameters
    ----------
    cpu_s
        Processor time, in seconds.
    resident_kib
        Resident memory, in KiB.
    threads
        Threads.

    """

    cpu_s: float
    resident_kib: int
    threads: int


@dataclass(frozen=True)
class Traffic:
    """Bytes on the connections that a process holds now."""

    sent: int
    received: int


def read_usage(pid: int) -> Usage:
    """Read the counters of a process that this tool has started."""
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    lines = _status_lines(pid)
    return Usage(
        ticks / os.sysconf('SC_CLK_TCK'),
        lines['VmRSS'],
        lines['Threads'],
    )


def read_traffic(pid: int) -> Traffic:
    """Sum the bytes of a process's open TCP connections.

    The program ``ss`` gives them; without it nothing is counted.
    """
    try:
        ended = subprocess.run(
            ('ss', '-tinpHO'),
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return Traffic(0, 0)
    mark = f'pid={pid},'
    lines = [line for line in ended.stdout.splitlines() if mark in line]
    return Traffic(
        sum(_field(line, _BYTES_SENT) for line in lines),
        sum(_field(line, _BYTES_RECEIVED) for line in lines),
    )


def _status_lines(pid: int) -> dict[str, int]:
    with open(f'/proc/{pid}/status', encoding='ascii') as status:
        pairs = [line.split() for line in status]
    return {
        pair[0].rstrip(':'): int(pair[1])
        for pair in pairs
        if len(pair) > 1 and pair[1].isdigit()
    }


def _field(line: str, name: str) -> int:
    _, found, rest = line.partition(name)
    return int(rest.split()[0]) if found else 0
