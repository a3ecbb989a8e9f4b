"""In-memory clock, reports and links for the tests of peers."""

from collections.abc import Callable
from dataclasses import replace

from returns.result import Failure, Result

from pomelogauge.model.ids import Address, ConfigVersion, NodeName
from pomelogauge.model.peers import NodeReport, PeerView
from pomelogauge.model.phase import NodePhase
from pomelogauge.tasks.links import LinkError
from pomelogauge.tasks.messages import ConfigurationDocument, Gossip

from .test_peer_codec import REPORT


class FakeClock:
    """A clock that stands still until the test moves ``time_s``."""

    def __init__(self) -> None:
        self.time_s = 100.0

    def now_s(self) -> float:
        return self.time_s


def report(name: str, version: int = 0, **changes: object) -> NodeReport:
    """Build the report of a ready router with its own addresses."""
    base = replace(
        REPORT,
        node=NodeName(name),
        address=Address(f'{name}:80'),
        peer_address=Address(f'{name}:90'),
        version=ConfigVersion(version),
        phase=NodePhase.READY,
    )
    return replace(base, **changes)


def view(name: str, version: int = 0, **changes: object) -> PeerView:
    """Build the view of a peer whose report has just come."""
    return PeerView(report(name, version, **changes), 0.0)


class FakeLinks:
    """Links to peers by address; calls to other addresses fail.

    Pushes are recorded and fail, so that they change nothing.
    """

    def __init__(self) -> None:
        self.peers: dict[str, Callable[[Gossip], Gossip]] = {}
        self.documents: dict[str, ConfigurationDocument] = {}
        self.pushed: list[str] = []

    def gossip(
        self, address: Address, gossip: Gossip
    ) -> Result[Gossip, LinkError]:
        return _call(address, self.peers.get(address), gossip)

    def fetch(
        self, address: Address, at_least: ConfigVersion
    ) -> Result[ConfigurationDocument, LinkError]:
        return _call(address, self.documents.get, address)

    def push(
        self, address: Address, document: ConfigurationDocument
    ) -> Result[ConfigVersion, LinkError]:
        self.pushed.append(address)
        return Failure(LinkError(address, 'no peer'))


def _call(address, handler, request):  # noqa: ANN001, ANN202
    answer = handler(request) if handler else None
    if answer is None:
        return Failure(LinkError(address, 'no peer'))
    return Result.from_value(answer)
