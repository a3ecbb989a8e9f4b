"""Calls to the control interface of the stand-ins."""

import json
from dataclasses import asdict, dataclass
from typing import Any

import urllib3

from ..model.errors import UserError
from ..model.ids import Address
from ..model.topology import Instance

#: Seconds for one control call.
CONTROL_TIMEOUT_S = 5.0
_FAILED_STATUS = 400


class ControlError(UserError):
    """A stand-in refused a control call."""


@dataclass(frozen=True)
class StandinMode:
    """Body of ``PUT /control/mode``.

    Parameters
    ----------
    mode
        Name of the mode, as in docs/standins.md.
    delay_s
        Seconds, for slow modes.
    count
        Calls that the mode applies to.
    table
        Table that a lost answer must touch; empty for any.
    factor
        How many times slower an engine gets.

    """

    mode: str
    delay_s: float = 0
    count: int = 0
    table: str = ''
    factor: float = 1


class StandinControl:
    """Control of stand-ins; used by tools and tests only."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pool = urllib3.PoolManager(
            timeout=CONTROL_TIMEOUT_S,
            retries=False,
        )

    def set_mode(self, address: Address, mode: StandinMode) -> None:
        """Set how a stand-in behaves from now on."""
        self._send('PUT', address, '/control/mode', asdict(mode))

    def block_links(self, address: Address, clients: tuple[str, ...]) -> None:
        """Cut the links of the named nodes to a stand-in."""
        self._send('PUT', address, '/control/cuts', {'clients': clients})

    def list_instances(
        self,
        platform: Address,
        instances: tuple[Instance, ...],
    ) -> None:
        """Add instances to the platform's list, or replace them."""
        body = {'instances': [asdict(listed) for listed in instances]}
        self._send('PUT', platform, '/control/instances', body)

    def unlist(self, platform: Address, name: str) -> None:
        """Remove an instance from the platform's list."""
        self._send('DELETE', platform, f'/control/instances/{name}')

    def mark_leaving(self, platform: Address, name: str) -> None:
        """Mark an instance as leaving in the platform's list."""
        self._send('PUT', platform, f'/control/instances/{name}/leaving', {})

    def record(self, address: Address) -> Any:
        """Return what a stand-in has recorded."""
        return self._send('GET', address, '/control/record')

    def stats(self, platform: Address) -> Any:
        """Return the platform's counts of reads and writes."""
        return self._send('GET', platform, '/control/stats')

    def _send(
        self,
        method: str,
        address: Address,
        path: str,
        body: Any = None,
    ) -> Any:
        answer = self._pool.request(
            method,
            f'http://{address}{path}',
            body=None if body is None else json.dumps(body),
        )
        if answer.status >= _FAILED_STATUS:
            raise ControlError(f'{method} {path}: {answer.status}')
        return json.loads(answer.data) if answer.data else None
