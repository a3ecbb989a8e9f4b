"""Protocol and records for calls to plain services."""

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
        Cause in one sentence, for logs and refusals.
    execution
        Whether the service may have run the call. ``NOT_RUN`` only if no
        byte of the call was sent, or the service answered that it did not
        run the call.

    """

    message: str
    execution: Execution


@dataclass(frozen=True)
class ServiceCallRequest:
    """A call as it is sent to a plain service.

    Parameters
    ----------
    request
        Identifier that the service has to echo.
    call
        Last part of the URL path.
    idempotency_key
        Sent on to the service; empty for none.
    body
        The caller's body, unchanged.
    trace_parent
        Trace context header; empty for none.

    """

    request: RequestId
    call: CallName
    idempotency_key: str
    body: bytes
    trace_parent: str = ''


@dataclass(frozen=True)
class ServiceAnswer:
    """A complete answer of a plain service."""

    status: int
    body: bytes
    media_type: str = 'application/json'


class ServiceCalls(Protocol):
    """Client of plain services; used by the tasks of a router's callers."""

    def call(
        self,
        address: Address,
        req: ServiceCallRequest,
    ) -> Result[ServiceAnswer, ServiceError]:
        """Send a call once, without retries, and wait for the answer.

        Parameters
        ----------
        address
            ``host:port`` of the service instance.
        req
            The call.

        Returns
        -------
        Result
            The complete answer with any HTTP status; else a failure that says
            whether the call may have run.

        """
