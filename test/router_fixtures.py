"""Records that several tests of the router use."""

from hashlib import sha256

from pomelogauge.model.ids import (
    Address,
    CallName,
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    DomainName,
    Epoch,
    Incarnation,
    InstanceName,
    ModelName,
    NodeName,
    OrganisationName,
    ReplicaId,
    RequestId,
    ServiceName,
    ShardName,
)
from pomelogauge.model.manifest import (
    Configuration,
    Deployment,
    Manifest,
    Organisation,
    Service,
    ServiceCall,
)
from pomelogauge.model.peers import NodeReport
from pomelogauge.model.placement import Member, Replica, ReplicaView
from pomelogauge.model.request import ModelRequest
from pomelogauge.model.topology import InstanceRole

NORTH = DataCentreName('north')
SOUTH = DataCentreName('south')
LARGE = OrganisationName('large')
SMALL = OrganisationName('small')
KEY = 'key-of-large'
OWN = NodeReport(
    NodeName('router-1'),
    InstanceRole.ROUTER,
    Incarnation('one'),
    0,
    NORTH,
    Address('127.0.0.1:1'),
    Address('127.0.0.1:2'),
)


class FakeClock:
    """A clock whose time the test sets."""

    def __init__(self) -> None:
        self.at_s = 100.0

    def now_s(self) -> float:
        return self.at_s


def configuration(version: int = 1, drained: tuple[str, ...] = ()):
    """Build a configuration with one deployment and one service.

    The service has one non-idempotent and one idempotent call.
    """
    deployment = Deployment(
        DeploymentName('quotes'),
        ModelName('m'),
        '1',
        1,
        2,
        (NORTH, SOUTH),
        adapters=('a',),
        organisations=(LARGE, SMALL),
    )
    calls = (
        ServiceCall(CallName('pay'), idempotent=False),
        ServiceCall(CallName('look'), idempotent=True),
    )
    key_hash = sha256(KEY.encode()).hexdigest()
    manifest = Manifest(
        organisations=(
            Organisation(LARGE, (key_hash,), max_in_flight=5),
            Organisation(SMALL, ()),
        ),
        deployments=(deployment,),
        services=(Service(ServiceName('books'), calls),),
    )
    return Configuration(
        ConfigVersion(version),
        manifest,
        tuple(DataCentreName(name) for name in drained),
    )


def view(
    name: str = 'p-1',
    data_centre: DataCentreName = NORTH,
    *,
    serving: bool = True,
    running: int = 0,
    incarnation: str = 'one',
) -> ReplicaView:
    """Build the view of a warm replica with one member and ten slots."""
    member = Member(
        InstanceName(f'i-{name}'),
        Address(f'{name}:1'),
        data_centre,
        DomainName('d'),
        0,
    )
    replica = Replica(
        ReplicaId(name),
        DeploymentName('quotes'),
        Epoch(1),
        ShardName('s'),
        (member,),
    )
    return ReplicaView(
        replica,
        serving,
        running,
        current_capacity=10,
        incarnation=Incarnation(incarnation),
        capacity=10,
    )


def request(
    name: str = 'r-1',
    organisation: OrganisationName = LARGE,
    model: str = 'm',
) -> ModelRequest:
    """Build a request of an organisation to the model of the deployment."""
    return ModelRequest(RequestId(name), organisation, ModelName(model))
