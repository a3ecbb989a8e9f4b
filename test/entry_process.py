"""Entry instances as processes, which tests start and kill by their ids."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path

import urllib3
from urllib3.exceptions import HTTPError

#: Limits of the platform in the settings file.
BOUNDS = {
    'revoke_ms': 5000,
    'grace_s': 8,
    'stall_ms': 500,
    'retry_budget_ratio': 0.2,
    'retry_budget_slack': 130,
    'budget_window_s': 10,
    'cold_overshoot': 1.5,
    'cold_slack': 5,
}


#: Below the range of ephemeral ports, which connections of other tests get.
#: Each test process takes ports from a block of its own: an instance that is
#: down holds no port, and no other process may take it until the restart.
FIRST_PORT = 15_000
PORT_BLOCKS = 150
BLOCK_PORTS = 100


def claim_block(number: int) -> socket.socket:
    """Return a listener on the first port of a block that nobody else has.

    The block is claimed for as long as the listener is open.

    Parameters
    ----------
    number
        Of the block that is tried first.

    """
    for offset in range(PORT_BLOCKS):
        block = (number + offset) % PORT_BLOCKS
        address = '127.0.0.1', FIRST_PORT + block * BLOCK_PORTS
        with suppress(OSError):
            return socket.create_server(address)
    raise OSError(f'all {PORT_BLOCKS} blocks of ports are claimed')


CLAIM = claim_block(os.getpid())
BLOCK = CLAIM.getsockname()[1]
PORTS = itertools.cycle(range(BLOCK + 1, BLOCK + BLOCK_PORTS))


def free_port() -> int:
    """Return a port of the own block on which nothing listens."""
    for port in itertools.islice(PORTS, BLOCK_PORTS - 1):
        with suppress(OSError), socket.create_server(('127.0.0.1', port)):
            return port
    raise OSError(f'all {BLOCK_PORTS} ports from {BLOCK} are in use')


class EntryProcess:
    """One process that runs ``pomelogauge entry``.

    Its settings and its log are files in a folder of the test. Several starts
    append to the same log.
    """

    #: Checkouts whose code the starts run in turn; ``None`` is this one.
    builds: tuple[Path | None, ...] = (None,)
    starts = 0

    def __init__(self, name: str, folder: Path, store: str) -> None:
        ports = [free_port() for _ in range(5)]
        self.callers = f'127.0.0.1:{ports[0]}'
        self.ready = f'127.0.0.1:{ports[1]}'
        self.directory = f'127.0.0.1:{ports[2]}'
        self.metrics = f'127.0.0.1:{ports[4]}'
        self.settings = folder / f'{name}.json'
        self.log = folder / f'{name}.log'
        self.settings.write_text(
            json.dumps(
                {
                    'node_name': name,
                    'zone': 'a',
                    'ip': '127.0.0.1',
                    'internal_ports': [ports[3], ports[3]],
                    'bootstrap': True,
                    'listen_addrs': {
                        'frontend': self.callers,
                        'ready': self.ready,
                        'directory': self.directory,
                    },
                    'platform': {'address': store},
                    'bounds': BOUNDS,
                }
            )
        )
        self.metrics_port = ports[4]
        self.start()

    def start(self) -> None:
        """Start the process; it may be started again after ``end``."""
        build = self.builds[self.starts % len(self.builds)]
        self.starts += 1
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                [
                    *(sys.executable, '-m', 'pomelogauge', 'entry'),
                    *('--settings', str(self.settings)),
                    *('--metrics-port', str(self.metrics_port)),
                ],
                stdout=log,
                stderr=log,
                cwd=build,
            )

    def end(self, number: int = signal.SIGKILL) -> int:
        """Send a signal if the process runs and return its exit code."""
        if self.process.poll() is None:
            os.kill(self.process.pid, number)
        return self.process.wait(15)

    def is_ready(self) -> bool:
        return self.get(self.ready, '/ready').status == 200

    def get(self, address: str, path: str) -> urllib3.BaseHTTPResponse:
        """Request a page; every failure is an ``OSError``."""
        try:
            return urllib3.request('GET', f'http://{address}{path}', retries=0)
        except HTTPError as exc:
            raise OSError(str(exc)) from exc

    def send_request(
        self, attempt: str, key: str = 'k'
    ) -> urllib3.BaseHTTPResponse:
        """Send a streaming request; every failure is an ``OSError``."""
        try:
            return urllib3.request(
                'POST',
                f'http://{self.callers}/a/b',
                body=b'{}',
                retries=0,
                timeout=8,
                headers={
                    'Host': 'app',
                    'X-Attempt-Id': attempt,
                    'X-Model': 'm',
                    'X-Deadline-Ms': '4000',
                    'Authorization': f'Bearer {key}',
                },
            )
        except HTTPError as exc:
            raise OSError(str(exc)) from exc

    def serves_requests(self) -> bool:
        """Return whether a streaming request gets all its three events."""
        response = self.send_request('a1')
        return response.status == 200 and response.data.count(b'id: ') == 3

    def log_records(self) -> list[dict]:
        """Return the lines of the log that are JSON records."""
        lines = self.log.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]
