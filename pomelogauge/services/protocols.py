"""Plain services as a protocol type."""

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from ..model.ids import Address, CallName, RequestId
from ..model.request import Execution


@dataclass(frozen=True)
class ServiceError:
    """A failed call to a plain service.

    Parameters
    ----------
    message
        One sentence.
    execution
        Whether the service may have run the call; ``not_run`` only if no
        byte of the call left, or the service said so itself.

    """

    message: str
    execution: Execution


@dataclass(frozen=True)
class ServiceCallRequest:
    """A call on its way to a plain service."""

    request: RequestId
    call: CallName
    idempotency_key: str
    body: bytes
    trace_parent: str = ''


@dataclass(frozen=True)
class ServiceAnswer:
    """The whole answer of a plain service."""

    status: int
    body: bytes
    media_type: str = 'application/json'


class ServiceCalls(Protocol):
    """Calls to plain services; used by routers."""

    def call(
        self,
        address: Address,
        ask: ServiceCallRequest,
    ) -> Result[ServiceAnswer, ServiceError]:
        """Send a call once and return the whole answer."""
