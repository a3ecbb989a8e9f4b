"""Requests of callers and answers of targets, decoded."""

from dataclasses import dataclass

from .ids import (
    Address,
    ModelName,
    OrganisationName,
    PromptPart,
    TargetName,
)
from .serving import Organisation, Route, ServiceSpec

#: Name and value of each header, in the order of the message.
Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True)
class GenerationSize:
    """Token counts of a generation, as the caller states them.

    Parameters
    ----------
    prompt
        Tokens of the prompt.
    answer
        Largest number of tokens to generate.

    """

    prompt: int
    answer: int


@dataclass(frozen=True)
class CallerRequest:
    """One request as it was read from a caller.

    Parameters
    ----------
    attempt
        Identifier that the caller gave to this attempt; targets echo it.
    method, target
        Method and request target of the request line, unchanged.
    host, path
        Select the route; the host is without port, the path without query.
    key
        API key of the organisation; empty for none.
    budget_s
        Seconds that the caller is willing to wait; ``None`` if not stated.
    model
        Requested model; empty for plain services.
    size
        Token counts of the generation; ``None`` for plain services.
    last_event
        Identifier of the event after which a stream is resumed; empty for a
        new stream.
    shared_parts
        Parts of the prompt that other requests may have too, which leaves out
        the last one.
    headers
        End-to-end headers that are forwarded unchanged.
    body
        The whole body.
    received_at_s
        Local clock when the request had been read completely.

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
    shared_parts: tuple[PromptPart, ...]
    headers: Headers
    body: bytes
    received_at_s: float


@dataclass(frozen=True)
class AdmittedRequest:
    """A request that the configuration allows.

    Parameters
    ----------
    req
        The request as it was read.
    route
        Matching route.
    service
        Service that was chosen from the route's shares.
    organisation
        Organisation of the API key; ``None`` if no key is needed.
    priority
        Zero is the most urgent.
    deadline_s
        Local clock by which the answer must have arrived.

    """

    req: CallerRequest
    route: Route
    service: ServiceSpec
    organisation: Organisation | None
    priority: int
    deadline_s: float


@dataclass(frozen=True)
class TargetRequest:
    """A request as it is sent to one target.

    Parameters
    ----------
    req
        The caller's request.
    expected
        Target that may run the request; another target at the same address
        refuses it.
    organisation
        Organisation that is stated to the target; empty for none.
    priority
        Priority at the target; zero is the most urgent.
    remaining_s
        Seconds until the deadline.
    last_event
        Identifier of the event after which the stream is resumed; empty to
        start from the beginning.

    """

    req: CallerRequest
    expected: TargetName
    organisation: OrganisationName
    priority: int
    remaining_s: float
    last_event: str


@dataclass(frozen=True)
class TargetLoad:
    """Load that a target states in an answer, in requests."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class TargetNotice:
    """What a target asks for in an answer.

    Parameters
    ----------
    is_leaving
        It is about to end and wants no more requests.
    retry_after_s
        Seconds for which it wants none from this instance; zero for none.

    """

    is_leaving: bool = False
    retry_after_s: float = 0


#: The notice of an answer that asks for nothing.
NO_NOTICE = TargetNotice()


@dataclass(frozen=True)
class TargetAnswer:
    """Status and headers of a target's answer.

    Parameters
    ----------
    status
        HTTP status.
    headers
        End-to-end headers that are forwarded to the caller.
    attempt
        Identifier of the attempt that it answers; empty if not stated.
    was_not_run
        Whether the target states that it has not run the request.
    is_stamped
        Whether it has the response stamp, which targets put on their answers.
    is_encoded
        Whether its body has a content encoding, so that it is not the body
        that the target sent.
    is_stream
        Whether the body is an event stream.
    load
        Load of the target; ``None`` if not stated.
    notice
        What the target asks for.
    limit_per_s
        Requests a second that the target takes from all entry instances
        together; ``None`` if it names no limit.

    """

    status: int
    headers: Headers
    attempt: str
    was_not_run: bool
    is_stamped: bool
    is_encoded: bool
    is_stream: bool
    load: TargetLoad | None = None
    notice: TargetNotice = NO_NOTICE
    limit_per_s: float | None = None

    def is_success(self) -> bool:
        """Return whether the status is a 2xx."""
        return _SUCCESS <= self.status < _REDIRECTION


@dataclass(frozen=True)
class TargetAddress:
    """Target that was chosen for an attempt of a request.

    Parameters
    ----------
    target
        Name of the target.
    address
        ``host:port`` for requests.
    started_at_ms
        When it started; zero if not stated.

    """

    target: TargetName
    address: Address
    started_at_ms: int = 0


_SUCCESS = 200
_REDIRECTION = 300
