"""Records of the operators' configuration: routes, services and limits."""

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
    """What the answers of a route are, and whether requests may be retried.

    ``IDEMPOTENT``: a request may run more than once. ``NON_IDEMPOTENT``: it
    must run at most once. ``STREAMING``: the answer is an event stream.
    """

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True)
class Share:
    """Weight of one service among the services of a route.

    Requests are split in proportion to the weights.
    """

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Rule for the requests of one host and path prefix.

    Parameters
    ----------
    name
        Name of the route, for logs.
    host, prefix
        Host and start of the path; the longest matching prefix applies.
    kind
        Kind of the requests.
    shares
        Services that run the requests, with their weights.
    timeout_s
        Upper bound of a request's deadline; zero for none.
    target_latency_s
        Latency up to which a response is on time; for a stream, that of its
        first event.
    max_targets
        Number of targets to which one request may be sent, the first one
        included.
    priority
        Zero is the most urgent.
    is_public
        Whether requests need no API key.
    may_resume
        Whether an interrupted stream may be resumed at another target.
    gap_s
        Longest pause between two events of a stream that is on time; zero if
        not stated.

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
    gap_s: float = 0

    def may_retry(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or self.may_resume


@dataclass(frozen=True)
class ModelSpec:
    """A model and the properties of groups that serve it.

    Parameters
    ----------
    name
        Name of the model.
    size
        Number of members of a group.
    share
        Expected share of the service's requests, relative to other models.
    pace
        Factor on all durations of the model's requests; above one is slower.
    load_s
        Seconds until a member has joined if its host gets the weights from
        the weight store.
    warm_up_s
        The same if the weights are on its host.

    """

    name: ModelName
    size: int
    share: float
    pace: float
    load_s: float
    warm_up_s: float


@dataclass(frozen=True)
class EngineSpec:
    """Properties of the model engines of a service.

    Parameters
    ----------
    models
        Models that the service serves.
    slots
        Requests that a group runs at the same time.
    loads_per_s
        Bound on the loads from the weight store that are started per second.
    formation_s
        Seconds from the order to open a group until it serves.

    """

    models: tuple[ModelSpec, ...]
    slots: int
    loads_per_s: float
    formation_s: float

    def model(self, name: ModelName) -> ModelSpec | None:
        """Return the model with a name; ``None`` if it is not served."""
        for spec in self.models:
            if spec.name == name:
                return spec
        return None


@dataclass(frozen=True)
class ServiceSpec:
    """A service and the limits of its targets.

    Parameters
    ----------
    name
        Name of the service.
    max_connections
        Connections that one target accepts in total; zero if not stated.
    cold_requests_per_s
        Requests per second that a cold target can take from all entry
        instances together; zero for no limit.
    engine
        Properties of its model engines; ``None`` for a plain service.

    """

    name: ServiceName
    max_connections: int
    cold_requests_per_s: float
    engine: EngineSpec | None = None


@dataclass(frozen=True)
class Organisation:
    """An organisation, as its API keys identify it.

    Parameters
    ----------
    name
        Name of the organisation.
    priority
        Priority of its requests, zero is the most urgent; ``None`` for that
        of the route.

    """

    name: OrganisationName
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest size of a request's head and body.
    header_timeout_s
        Longest time until a request's head has been read.
    idle_timeout_s
        Longest time between two requests on one connection.

    """

    header_bytes: int = 16384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class ServingConfig:
    """One version of the operators' configuration.

    Parameters
    ----------
    version
        Rises with every change.
    routes
        All routes by host, those with longer prefixes first.
    services
        All services by name.
    keys
        Organisation of each API key.
    has_organisations
        Whether requests need an API key, unless their route is public.
    limits
        Limits on callers' requests.

    """

    version: ConfigVersion
    routes: Mapping[str, tuple[Route, ...]] = field(default_factory=dict)
    services: Mapping[ServiceName, ServiceSpec] = field(default_factory=dict)
    keys: Mapping[str, Organisation] = field(default_factory=dict)
    has_organisations: bool = False
    limits: CallerLimits = CallerLimits()
