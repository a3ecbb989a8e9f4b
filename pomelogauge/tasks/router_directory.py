"""Answers to callers that ask which routers to use."""

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
ENTRY_LIMIT = 8


class RouterDirectory:
    """Keeps the choice of routers until something changes.

    Owned by the membership task.

    Parameters
    ----------
    ttl_s
        Seconds for which callers may keep an answer.
    turn
        First turn of the rotation; random, so that routers differ.

    """

    def __init__(self, ttl_s: float, turn: int) -> None:
        """Start without a choice."""
        self._ttl_s = ttl_s
        self._turn = turn
        self._choice: RouterChoice | None = None
        self._leaving: frozenset[NodeName] = frozenset()
        self._drained: frozenset[DataCentreName] = frozenset()
        self._listed: tuple[Instance, ...] = ()

    @property
    def is_chosen(self) -> bool:
        """Return whether the last choice still holds."""
        return self._choice is not None

    def invalidate(self) -> None:
        """Drop the choice, as peers or the own report have changed."""
        self._choice = None

    def set_instances(self, message: InstancesListed) -> None:
        """Learn which routers there are and who is leaving."""
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
        """Learn which data centres receive no new work."""
        self._drained = frozenset(message.configuration.drained)
        self.invalidate()

    def choose(self, own: NodeReport, peers: tuple[PeerView, ...]) -> None:
        """Choose among this process and its live peers."""
        facts = RouterFacts(
            own, peers, self._leaving, self._drained, self._listed
        )
        self._choice = choose_routers(facts)

    def next_addresses(self) -> RouterAddresses:
        """Return the next answer."""
        if self._choice is None:
            return RouterAddresses((), self._ttl_s)
        self._turn += 1
        addresses = order_routers(self._choice, self._turn, ENTRY_LIMIT)
        return RouterAddresses(addresses, self._ttl_s)
