"""Records of the manifest and of the published configuration."""

from dataclasses import dataclass, field

from .ids import (
    NO_VERSION,
    CallName,
    ConfigVersion,
    DataCentreName,
    DeploymentName,
    ModelName,
    OrganisationName,
    ServiceName,
)


@dataclass(frozen=True)
class DataCentre:
    """A data centre and the region in which it stands."""

    name: DataCentreName
    region: str


@dataclass(frozen=True)
class Organisation:
    """An organisation and the API keys of its callers.

    Parameters
    ----------
    name
        Unique name.
    key_hashes
        SHA-256 of each key in hexadecimal; the keys themselves are not
        stored.
    weight
        Share of capacity relative to other organisations.
    max_in_flight
        Largest number of concurrent requests over all routers; zero means no
        limit.

    """

    name: OrganisationName
    key_hashes: tuple[str, ...]
    weight: int = 1
    max_in_flight: int = 0


@dataclass(frozen=True)
class Deployment:
    """A model version, and where and for whom it is served.

    Parameters
    ----------
    name
        Unique name.
    model
        Name under which callers request it.
    model_version
        Version of the weights.
    adapters
        Adapters loaded with the model; requested as ``model:adapter``.
    span
        Number of instances that form one replica.
    replicas
        Desired number of replicas over all data centres.
    priority
        Higher numbers go first, both when replicas are formed and when
        requests are queued.
    checks_fence
        Whether its engines refuse orders with an old epoch.
    data_centres
        Data centres in which replicas may be formed.
    organisations
        Organisations that may call it; empty means all.

    """

    name: DeploymentName
    model: ModelName
    model_version: str
    span: int
    replicas: int
    data_centres: tuple[DataCentreName, ...]
    adapters: tuple[str, ...] = ()
    priority: int = 0
    checks_fence: bool = True
    organisations: tuple[OrganisationName, ...] = ()


@dataclass(frozen=True)
class ServiceCall:
    """A call that a plain service offers.

    Parameters
    ----------
    name
        Last part of the URL path.
    idempotent
        Whether running it more than once has the same effect as once, so that
        it may be retried.

    """

    name: CallName
    idempotent: bool


@dataclass(frozen=True)
class Service:
    """A plain service behind the routers.

    Parameters
    ----------
    name
        Unique name.
    calls
        Calls that it offers.
    organisations
        Organisations that may call it; empty means all.

    """

    name: ServiceName
    calls: tuple[ServiceCall, ...]
    organisations: tuple[OrganisationName, ...] = ()


@dataclass(frozen=True)
class Manifest:
    """Declaration of the whole system, as operators write it."""

    data_centres: tuple[DataCentre, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    deployments: tuple[Deployment, ...] = ()
    services: tuple[Service, ...] = ()


@dataclass(frozen=True)
class Configuration:
    """A published manifest and the data centres that are out of service.

    Parameters
    ----------
    version
        Number of the publication; rises by one with each.
    manifest
        The declaration in force.
    drained
        Data centres that get no new requests.
    publisher
        Operator who published it; named to an operator whose publication
        conflicts with it.
    preparing
        Data centres that will be drained; capacity is formed elsewhere first.

    """

    version: ConfigVersion = NO_VERSION
    manifest: Manifest = field(default_factory=Manifest)
    drained: tuple[DataCentreName, ...] = ()
    publisher: str = ''
    preparing: tuple[DataCentreName, ...] = ()
