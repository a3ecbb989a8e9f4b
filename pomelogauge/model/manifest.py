"""The manifest that operators publish, and the configuration in force."""

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
    """A data centre and its region."""

    name: DataCentreName
    region: str


@dataclass(frozen=True)
class Organisation:
    """An organisation and the keys of its callers.

    Parameters
    ----------
    name
        Unique name.
    key_hashes
        SHA-256 of each key, in hexadecimal.
    weight
        Share of capacity relative to other organisations.
    max_in_flight
        Requests at once over all routers; zero means no limit.

    """

    name: OrganisationName
    key_hashes: tuple[str, ...]
    weight: int = 1
    max_in_flight: int = 0


@dataclass(frozen=True)
class Deployment:
    """A model version that serves organisations in data centres.

    Parameters
    ----------
    name
        Unique name.
    model
        Name that callers ask for.
    model_version
        Version of the weights.
    adapters
        Adapters loaded with the model; callers ask ``model:adapter``.
    span
        Instances in one replica.
    replicas
        Replicas wanted in all.
    priority
        A higher number goes first.
    checks_fence
        The engines refuse an order with an old fencing number.
    data_centres
        Where replicas may stand.
    organisations
        Who may call; empty means everyone.

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
    """One call of a plain service.

    Parameters
    ----------
    name
        Last part of its path.
    idempotent
        It may be repeated without harm.

    """

    name: CallName
    idempotent: bool


@dataclass(frozen=True)
class Service:
    """A plain service behind the routers."""

    name: ServiceName
    calls: tuple[ServiceCall, ...]
    organisations: tuple[OrganisationName, ...] = ()


@dataclass(frozen=True)
class Manifest:
    """All that operators declare."""

    data_centres: tuple[DataCentre, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    deployments: tuple[Deployment, ...] = ()
    services: tuple[Service, ...] = ()


@dataclass(frozen=True)
class Configuration:
    """A published manifest and what operators took out of service.

    Parameters
    ----------
    version
        Number of the publication; it only rises.
    manifest
        The declaration in force.
    drained
        Data centres that receive no new work.
    publisher
        Who published it, for the loser of a race.
    preparing
        Data centres that will be drained: capacity is formed elsewhere.

    """

    version: ConfigVersion = NO_VERSION
    manifest: Manifest = field(default_factory=Manifest)
    drained: tuple[DataCentreName, ...] = ()
    publisher: str = ''
    preparing: tuple[DataCentreName, ...] = ()
