"""Identity of a process."""

from dataclasses import dataclass
from random import Random

from ..model.ids import Address, Incarnation
from ..model.peers import NodeReport
from ..model.topology import InstanceRole
from .settings import CommonSettings


@dataclass(frozen=True)
class Identity:
    """Name, incarnation and addresses of a process.

    Parameters
    ----------
    role
        Router or controller.
    cfg
        Settings.
    incarnation
        Unique for each start of the process.
    address
        ``host:port`` of its HTTP interface.
    peer_address
        ``host:port`` of its gRPC interface.

    """

    role: InstanceRole
    cfg: CommonSettings
    incarnation: Incarnation
    address: Address
    peer_address: Address

    def report(self) -> NodeReport:
        """Return the initial gossip report to peers."""
        return NodeReport(
            self.cfg.node,
            self.role,
            self.incarnation,
            0,
            self.cfg.data_centre,
            self.address,
            self.peer_address,
        )

    def rng(self, purpose: str) -> Random:
        """Return a random source seeded with the incarnation and a purpose."""
        return Random(f'{self.incarnation} {purpose}')
