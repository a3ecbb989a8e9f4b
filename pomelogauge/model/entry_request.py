"""Callers' requests and targets' answers, free of their encoding."""

from dataclasses import dataclass

from .ids import Address, ModelName, OrganisationName, TargetName
from .serving import Organisation, Route, ServiceSpec

#: Name and value of each header, in the order of the message.
Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class GenerationSize:
    """Tokens of a generation.

    Parameters
    ----------
    prompt
        Tokens that the model reads.
    answer
        Most tokens that it writes.

    """

    prompt: int
    answer: int


@dataclass(frozen=True)
class CallerRequest:
    """One request as it was read from a caller.

    Parameters
    ----------
    attempt
        The caller's name for this request.
    method, target
        Method and request target, as sent.
    host, path
        Select the route; the path is without its query.
    key
        Key of the organisation; empty without one.
    budget_s
        Seconds that the caller waits; ``None`` when it does not say.
    model
        Model that it asks for; empty for plain services.
    size
        Size of the generation; ``None`` for plain services.
    last_event
        Event after which a stream goes on; empty for a new stream.
    headers
        What is passed on unchanged.
    body
        The whole body.
    received_at_s
        Time of the own clock when the request had been read.

    """

    attempt: str
    method: bytes
    target: bytes
    host: str
    path: str
    key: str
    budget_s: float | None
    model: ModelName
    size: GenerationSize | None
    last_event: str
    headers: Headers
    body: bytes
    received_at_s: float


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that the configuration allows.

    Parameters
    ----------
    req
        The request.
    route
        Its route.
    service
        Service that runs it.
    organisation
        Holder of its key; ``None`` where no key is needed.
    priority
        Zero is the most urgent.
    deadline_s
        Time of the own clock at which its answer must be there.

    """

    req: CallerRequest
    route: Route
    service: ServiceSpec
    organisation: Organisation | None
    priority: int
    deadline_s: float


@dataclass(frozen=True)
class TargetRequest:
    """What one target is sent.

    Parameters
    ----------
    req
        The caller's request.
    expected
        The only target that may run it.
    organisation
        Name that the target is told; empty for none.
    priority
        Rank at the target.
    remaining_s
        Seconds that are left.
    last_event
        Event after which the stream goes on; empty from the start.

    """

    req: CallerRequest
    expected: TargetName
    organisation: OrganisationName
    priority: int
    remaining_s: float
    last_event: str


@dataclass(frozen=True)
class TargetLoad:
    """Load that a target states in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class TargetAnswer:
    """The head of a target's answer.

    Parameters
    ----------
    status
        Its status.
    headers
        What is passed on to the caller.
    attempt
        Request that it answers.
    was_not_run
        The target states that the request has not run.
    is_stamped
        It carries the target's stamp.
    is_encoded
        Its body is not the target's own.
    is_stream
        Its body is a stream of events.
    load
        Load that it states; ``None`` without.

    """

    status: int
    headers: Headers
    attempt: str
    was_not_run: bool
    is_stamped: bool
    is_encoded: bool
    is_stream: bool
    load: TargetLoad | None = None

    def is_success(self) -> bool:
        """Return whether the status is one of success."""
        return _SUCCESS <= self.status < _REDIRECTION


@dataclass(frozen=True)
class TargetAddress:
    """A target that a request may be sent to.

    Parameters
    ----------
    target
        Its name.
    address
        Its ``host:port``.

    """

    target: TargetName
    address: Address


_SUCCESS = 200
_REDIRECTION = 300
