"""The operators' configuration: routes, services, models, organisations."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .ids import (
    ConfigVersion,
    ModelName,
    OrganisationName,
    RouteName,
    ServiceName,
)


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True)
class Share:
    """A service's part of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of a host and path go.

    Parameters
    ----------
    name
        Name of the route.
    host, prefix
        What it matches; the longest prefix wins.
    kind
        What may be repeated.
    shares
        Services and their weights.
    timeout_s
        Longest time that a request is kept waiting.
    target_latency_s
        Time within which a response is on time; to the first event of a
        stream.
    max_targets
        Targets to which one request may be sent.
    priority
        Zero is the most urgent.
    is_public
        Requests need no key.
    may_resume
        Streams may go on at another target.

    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    target_latency_s: float
    max_targets: int
    priority: int
    is_public: bool = False
    may_resume: bool = False

    def may_retry(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.may_resume


@dataclass(frozen=True)
class ModelSpec:
    """A model and the groups that serve it.

    Parameters
    ----------
    name
        Name of the model.
    size
        Members of a group.
    share
        Part of the work at the start.
    pace
        Factor on all times of the group.
    load_s, warm_up_s
        Seconds of a join from the weight store and from the host.

    """

    name: ModelName
    size: int
    share: float
    pace: float
    load_s: float
    warm_up_s: float


@dataclass(frozen=True)
class EngineSpec:
    """Figures of the model engines of a service.

    Parameters
    ----------
    models
        Models that the service serves.
    slots
        Requests that a group runs at once.
    loads_per_s
        Loads from the weight store that may start.
    formation_s
        Seconds from the order to open until the group serves.

    """

    models: tuple[ModelSpec, ...]
    slots: int
    loads_per_s: float
    formation_s: float

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return a model by name."""
        for spec in self.models:
            if spec.name == name:
                return spec
        return None


@dataclass(frozen=True)
class ServiceSpec:
    """A service and its limits.

    Parameters
    ----------
    name
        Name of the service.
    max_connections
        Connections that one target accepts from all callers.
    cold_requests_per_s
        Requests a second that a cold target bears.
    engine
        Figures of its engines; ``None`` for a plain service.

    """

    name: ServiceName
    max_connections: int
    cold_requests_per_s: float
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class Organisation:
    """An organisation and its rank."""

    name: OrganisationName
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest head and body.
    header_timeout_s, idle_timeout_s
        Longest time for a head and between requests.

    """

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class ServingConfig:
    """One version of the configuration.

    Parameters
    ----------
    version
        Rises with every change.
    routes
        All routes, by host, the longest prefix first.
    services
        All services by name.
    keys
        Organisation of each key.
    has_organisations
        Requests need a key unless their route is public.
    limits
        What callers may send.

    """

    version: ConfigVersion
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceSpec] = field(default_factory=dict)
    keys: Mapping[str, Organisation] = field(default_factory=dict)
    has_organisations: bool = False
    limits: CallerLimits = CallerLimits()
