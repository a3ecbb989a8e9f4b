"""Random faults on an installation, and how each is mended."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..model.ids import Address
from ..model.topology import InstanceRole
from .cluster import Cluster, Started
from .processes import ProcessError
from .standin_control import ControlError, StandinMode

#: Seconds that a fault lasts.
SHORTEST_S = 0.3
LONGEST_S = 3.0
#: Calls that a counted mode of a service meets.
_CALLS = 4
_FIRST_NEW_NUMBER = 100

Mend = Callable[[], None]


@dataclass(frozen=True)
class Fault:
    """A fault that has begun.

    Parameters
    ----------
    name
        What was done to whom.
    lasts_s
        Seconds until it is mended.
    mend
        Ends it.

    """

    name: str
    lasts_s: float
    mend: Mend = field(compare=False)


class FaultSource:
    """Does one random fault after another; belongs to the tool's thread.

    Parameters
    ----------
    cluster
        Installation.
    seed
        Of the random source.

    """

    def __init__(self, cluster: Cluster, seed: int) -> None:
        """Do nothing yet."""
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._number = _FIRST_NEW_NUMBER
        self._busy: set[str] = set()
        #: Addresses of routers that were killed.
        self.killed: set[str] = set()
        self._kinds: tuple[Callable[[], Fault | None], ...] = (
            lambda: self._kill(InstanceRole.ROUTER),
            lambda: self._kill(InstanceRole.CONTROLLER),
            lambda: self._pause(InstanceRole.ROUTER),
            lambda: self._pause(InstanceRole.CONTROLLER),
            lambda: self._pause(InstanceRole.ENGINE),
            lambda: self._pause(InstanceRole.SERVICE),
            self._engine_mode,
            self._engine_mode,
            self._service_mode,
            self._service_mode,
            self._platform_mode,
            self._platform_mode,
            self._cut,
        )

    def begin(self) -> Fault | None:
        """Do a fault to something that has none; ``None`` if all have."""
        kinds = list(self._kinds)
        self._rng.shuffle(kinds)
        for kind in kinds:
            fault = kind()
            if fault:
                return fault
        return None

    def _fault(self, victim: str, what: str, mend: Mend) -> Fault:
        self._busy.add(victim)

        def free() -> None:  # noqa: WPS430
            mend()
            self._busy.discard(victim)

        lasts_s = self._rng.uniform(SHORTEST_S, LONGEST_S)
        return Fault(f'{what} {victim}', lasts_s, free)

    def _victim(self, role: InstanceRole) -> Started | None:
        candidates = [
            started
            for started in self._cluster.members
            if started.role is role
            and started.process.alive
            and started.process.command.name not in self._busy
        ]
        # One process of a kind stays untouched, or nothing could be served.
        if len(candidates) < 2:
            return None
        return self._rng.choice(candidates)

    def _kill(self, role: InstanceRole) -> Fault | None:
        victim = self._victim(role)
        if victim is None:
            return None
        name = victim.process.command.name
        self.killed.update(ready.address for ready in victim.process.ready)
        victim.process.kill()

        def restart() -> None:  # noqa: WPS430
            self._number += 1
            started = self._cluster.start_entry(
                role, victim.data_centre, self._number
            )
            self._cluster.await_and_list(started)
            self._cluster.control.unlist(self._cluster.platform, name)

        return self._fault(name, 'kill', restart)

    def _pause(self, role: InstanceRole) -> Fault | None:
        victim = self._victim(role)
        if victim is None:
            return None
        name = victim.process.command.name
        victim.process.pause()
        return self._fault(name, 'pause', victim.process.resume)

    def _engine_mode(self) -> Fault | None:
        mode = self._rng.choice(('hang', 'slow', 'cold', 'crash'))
        sent = StandinMode(mode, factor=4)
        return self._mode(InstanceRole.ENGINE, sent)

    def _service_mode(self) -> Fault | None:
        mode = self._rng.choice(
            ('hang', 'cut_before', 'cut_after', 'refuse', 'slow')
        )
        sent = StandinMode(mode, delay_s=0.5, count=_CALLS)
        return self._mode(InstanceRole.SERVICE, sent)

    def _mode(self, role: InstanceRole, mode: StandinMode) -> Fault | None:
        victim = self._victim(role)
        if victim is None:
            return None
        ready = self._rng.choice(victim.process.ready)
        control = self._cluster.control
        control.set_mode(ready.address, mode)
        return self._fault(
            victim.process.command.name,
            f'{mode.mode} {ready.name} of',
            lambda: control.set_mode(ready.address, StandinMode('up')),
        )

    def _platform_mode(self) -> Fault | None:
        if 'platform' in self._busy:
            return None
        mode = self._rng.choice(('down', 'hang', 'slow', 'lose_answer'))
        table = self._rng.choice(('', 'intents', 'intents'))
        sent = StandinMode(mode, delay_s=0.3, count=_CALLS, table=table)
        control, platform = self._cluster.control, self._cluster.platform
        control.set_mode(platform, sent)
        return self._fault(
            'platform',
            mode,
            lambda: control.set_mode(platform, StandinMode('up')),
        )

    def _cut(self) -> Fault | None:
        node = self._victim(InstanceRole.ROUTER)
        target = self._victim(
            self._rng.choice((InstanceRole.ENGINE, InstanceRole.SERVICE))
        )
        if node is None or target is None:
            return None
        addresses = [ready.address for ready in target.process.ready]
        name = node.process.command.name
        self._cut_all(addresses, (name,))
        return self._fault(
            target.process.command.name,
            f'cut {name} from',
            lambda: self._cut_all(addresses, ()),
        )

    def _cut_all(
        self,
        addresses: list[Address],
        clients: tuple[str, ...],
    ) -> None:
        for address in addresses:
            self._cluster.control.block_links(address, clients)


#: What a fault or its mending can raise.
FAULT_ERRORS = (ProcessError, ControlError, OSError)
