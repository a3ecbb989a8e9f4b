"""Choice of the routers that are named to callers."""

from ..decide.resolve import (
    RouterChoice,
    RouterFacts,
    choose_routers,
    order_routers,
)
from ..model.ids import DataCentreName, NodeName
from ..model.peers import NodeReport, PeerView
from ..model.topology import Instance, InstanceRole
from .messages import ConfigurationInForce, InstancesListed, RouterAddresses

#: Most addresses in one answer to a caller.
MAX_ADDRESSES = 8


class RouterDirectory:
    """Caches the choice of routers until peers or settings change.

    It is state of the membership task.

    Parameters
    ----------
    ttl_s
        Seconds for which callers may cache an answer.
    turn
        Start of the rotation of addresses; random, so that the routers do
        not all name the same one first.

    """

    def __init__(self, ttl_s: float, turn: int) -> None:
        """Start without a cached choice."""
        self._ttl_s = ttl_s
        self._turn = turn
        self._choice: RouterChoice | None = None
        self._leaving: frozenset[NodeName] = frozenset()
        self._drained: frozenset[DataCentreName] = frozenset()
        self._listed: tuple[Instance, ...] = ()

    @property
    def is_chosen(self) -> bool:
        """Whether a choice is cached."""
        return self._choice is not None

    def invalidate(self) -> None:
        """Drop the cached choice, as peers or the own report have changed."""
        self._choice = None

    def set_instances(self, message: InstancesListed) -> None:
        """Set the listed routers and the instances that are leaving."""
        self._listed = tuple(
            instance
            for instance in message.instances
            if instance.role is InstanceRole.ROUTER
        )
        self._leaving = frozenset(
            NodeName(instance.name)
            for instance in message.instances
            if instance.leaving
        )
        self.invalidate()

    def take_configuration(self, message: ConfigurationInForce) -> None:
        """Set the data centres that are drained of new requests."""
        self._drained = frozenset(message.configuration.drained)
        self.invalidate()

    def choose(self, own: NodeReport, peers: tuple[PeerView, ...]) -> None:
        """Choose among this process and its live peers, and cache it."""
        facts = RouterFacts(
            own, peers, self._leaving, self._drained, self._listed
        )
        self._choice = choose_routers(facts)

    def next_addresses(self) -> RouterAddresses:
        """Return the addresses for one caller.

        Each call rotates them by one. Without a cached choice there are none.
        """
        if self._choice is None:
            return RouterAddresses((), self._ttl_s)
        self._turn += 1
        addresses = order_routers(self._choice, self._turn, MAX_ADDRESSES)
        return RouterAddresses(addresses, self._ttl_s)
