"""Replays arrivals over the real decisions against targets in fake time."""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush

from ..decide.grants import Account, issue, slots_for
from ..decide.queue import OrganisationLoad, WaitingRequest, select_next
from ..decide.routing import CandidateReplica, Policy, eligible_replicas
from ..model.ids import (
    Address,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    InstanceName,
    NodeName,
    OrganisationName,
    ReplicaId,
    ShardName,
)
from ..model.manifest import Configuration
from ..model.placement import Member, Replica, ReplicaView
from .policy_loads import (
    COLD_SLOTS,
    DURATION_S,
    SLOTS,
    Arrival,
    Load,
    TargetSpec,
)

#: Routers that choose alone.
ROUTERS = 6
#: Data centre of all routers and targets.
DATA_CENTRE = DataCentreName('north')
_EXCHANGE_S = 0.25
_REPORT_LAG_S = 0.5
_CACHED_PREFIXES = 12
_HIT_SAVES = 0.3
_ACCELERATORS = 8
_NEVER_S = float('inf')
_NO_CONFIGURATION = Configuration()


@dataclass(frozen=True)
class Replayed:
    """What came of one replay.

    Parameters
    ----------
    waits_s
        Waits of the requests that got a place in time.
    refused
        Requests that got none.
    idle_accelerator_s
        Accelerator-seconds idle while requests waited.
    overfed
        Requests started beyond what their target bore.

    """

    waits_s: tuple[float, ...]
    refused: int
    idle_accelerator_s: float
    overfed: int


@dataclass(frozen=True, order=True)
class _Event:
    at_s: float
    number: int
    act: Callable[[], None] = field(compare=False)


class _Target:
    """A target with slots, warmth, a prefix cache and lagging reports."""

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        self.running = 0
        self.current_capacity = SLOTS
        self.overfed = 0
        self._prefixes: deque[str] = deque(maxlen=_CACHED_PREFIXES)
        member = Member(
            InstanceName(spec.name), Address(''), DATA_CENTRE, DomainName(''), 0
        )
        self.replica = Replica(
            ReplicaId(spec.name),
            DeploymentName('quotes'),
            Epoch(1),
            ShardName(''),
            (member,),
        )
        self.view = self.look()

    def look(self) -> ReplicaView:
        return ReplicaView(
            self.replica,
            True,
            self.running,
            self.current_capacity,
            capacity=SLOTS,
        )

    def start(self, arrival: Arrival) -> float:
        """Take a request and return how long it runs."""
        self.overfed += self.running >= self.current_capacity
        load = self.running / SLOTS
        self.running += 1
        prefix = arrival.request.prefix
        hit = prefix in self._prefixes
        if hit:
            self._prefixes.remove(prefix)
        self._prefixes.append(prefix)
        saved = 1 - _HIT_SAVES * hit
        slowness = self.spec.slowness * (1 + load / 2)
        return arrival.service_s * saved * slowness

    def end(self) -> None:
        self.running -= 1
        self.current_capacity = min(self.current_capacity + 1, SLOTS)

    @property
    def free(self) -> int:
        return max(self.current_capacity - self.running, 0)


class _Router:
    """One router's queue, grants and own counts."""

    def __init__(self, number: int) -> None:
        self.name = NodeName(f'router-{number}')
        self.lines: dict[OrganisationName, deque[Arrival]] = {}
        self.slots: Counter[ReplicaId] = Counter()
        self.sent: dict[ReplicaId, dict[int, float]] = {}
        self.running: Counter[OrganisationName] = Counter()

    @property
    def waiting(self) -> int:
        return sum(len(line) for line in self.lines.values())

    def heads(self) -> Iterator[WaitingRequest]:
        for line in self.lines.values():
            if line:
                request = line[0].request
                yield WaitingRequest(
                    request, 0, line[0].at_s + request.deadline_s
                )

    def offer(self, target: _Target, now_s: float) -> CandidateReplica:
        replica = target.replica.replica
        sent = self.sent.get(replica, {})
        reported_at_s = now_s - _REPORT_LAG_S
        since = sum(at_s > reported_at_s for at_s in sent.values())
        return CandidateReplica(
            target.view, self.slots[replica], len(sent), since
        )


class Replay:
    """One replay of a load under a policy.

    Parameters
    ----------
    load
        The load.
    arrivals
        Its arrivals; each goes to the routers in turn.
    policy
        Chooses among targets.

    """

    def __init__(
        self,
        load: Load,
        arrivals: tuple[Arrival, ...],
        policy: Policy,
    ) -> None:
        """Schedule all arrivals and the regular exchanges."""
        self._policy = policy
        self._events: list[_Event] = []
        self._now_s = 0.0
        self._numbers = 0
        self._targets = [_Target(spec) for spec in load.targets]
        self._routers = [_Router(number) for number in range(ROUTERS)]
        self._accounts: dict[ReplicaId, dict[NodeName, Account]] = {}
        self._waits_s: list[float] = []
        self._refused = 0
        self._idle_s = 0.0
        self._schedule(arrivals)

    def run(self) -> Replayed:
        """Run until nothing waits or runs any more."""
        while self._events:
            event = heappop(self._events)
            self._count_idle(event.at_s - self._now_s)
            self._now_s = event.at_s
            event.act()
        return Replayed(
            tuple(self._waits_s),
            self._refused,
            self._idle_s * _ACCELERATORS / SLOTS,
            sum(target.overfed for target in self._targets),
        )

    def _schedule(self, arrivals: tuple[Arrival, ...]) -> None:
        for number, arrival in enumerate(arrivals):
            router = self._routers[number % ROUTERS]
            self._at(arrival.at_s, _bind(self._arrive, router, arrival))
        for number, router in enumerate(self._routers):
            offset_s = _EXCHANGE_S * number / ROUTERS
            self._at(offset_s, _bind(self._exchange, router))
        for target in self._targets:
            self._at(0, _bind(self._report, target))
            if target.spec.chilled_at_s > 0:
                self._at(target.spec.chilled_at_s, _bind(_chill, target))

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        self._numbers += 1
        heappush(self._events, _Event(at_s, self._numbers, act))

    def _later(self, delay_s: float, act: Callable[[], None]) -> None:
        self._at(self._now_s + delay_s, act)

    def _is_over(self) -> bool:
        waiting = any(router.waiting for router in self._routers)
        return self._now_s > DURATION_S and not waiting

    def _count_idle(self, passed_s: float) -> None:
        waiting = sum(router.waiting for router in self._routers)
        if waiting and passed_s:
            free = sum(target.free for target in self._targets)
            self._idle_s += min(free, waiting) * passed_s

    def _arrive(self, router: _Router, arrival: Arrival) -> None:
        line = router.lines.setdefault(arrival.request.organisation, deque())
        line.append(arrival)
        self._place(router)

    def _report(self, target: _Target) -> None:
        """Show a target as it is now, once the lag is over."""
        self._later(_REPORT_LAG_S, _bind(_show, target, target.look()))
        if not self._is_over():
            self._later(_EXCHANGE_S, _bind(self._report, target))

    def _exchange(self, router: _Router) -> None:
        for target in self._targets:
            self._grant(router, target)
        self._place(router)
        if not self._is_over():
            self._later(_EXCHANGE_S, _bind(self._exchange, router))

    def _grant(self, router: _Router, target: _Target) -> None:
        replica = target.replica.replica
        running = len(router.sent.get(replica, {}))
        account = Account(
            router.name,
            running=running,
            demand=router.waiting + sum(router.running.values()),
            asked_at_s=self._now_s,
        )
        accounts = self._accounts.setdefault(replica, {})
        accounts[router.name] = account
        slots = slots_for(
            target.view,
            router.name,
            tuple(accounts.values()),
            self._now_s,
            router_timeout_s=_NEVER_S,
        )
        router.slots[replica] = slots
        accounts[router.name] = issue(account, slots, _NEVER_S)

    def _place(self, router: _Router) -> None:
        self._expire(router)
        while head := select_next(
            router.heads(), OrganisationLoad(router.running)
        ):
            offers = tuple(
                router.offer(target, self._now_s) for target in self._targets
            )
            usable = eligible_replicas(_NO_CONFIGURATION, offers)
            chosen = self._policy.choose(head.request, usable)
            if chosen is None:
                return
            self._start(router, head, chosen.replica)

    def _start(
        self,
        router: _Router,
        head: WaitingRequest,
        replica: ReplicaId,
    ) -> None:
        organisation = head.request.organisation
        arrival = router.lines[organisation].popleft()
        target = next(
            one for one in self._targets if one.replica.replica == replica
        )
        self._waits_s.append(self._now_s - arrival.at_s)
        self._numbers += 1
        number = self._numbers
        router.running[organisation] += 1
        router.sent.setdefault(replica, {})[number] = self._now_s

        def end() -> None:
            target.end()
            router.running[organisation] -= 1
            router.sent[replica].pop(number)
            self._place(router)

        self._later(target.start(arrival), end)

    def _expire(self, router: _Router) -> None:
        for line in router.lines.values():
            while line and self._is_late(line[0]):
                line.popleft()
                self._refused += 1

    def _is_late(self, arrival: Arrival) -> bool:
        return self._now_s - arrival.at_s >= arrival.request.deadline_s


def _bind(act: Callable[..., None], *parts: object) -> Callable[[], None]:
    return lambda: act(*parts)


def _show(target: _Target, view: ReplicaView) -> None:
    target.view = replace(view, load_age_s=_REPORT_LAG_S)


def _chill(target: _Target) -> None:
    target.current_capacity = COLD_SLOTS
