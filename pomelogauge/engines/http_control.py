"""Orders to engines and their reports over HTTP."""

import urllib3
from opentelemetry.trace import SpanKind
from returns.result import Failure, Result
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from ..model.ids import Address, NodeName
from ..model.placement import EngineStatus
from ..model.request import Execution
from ..tasks.spans import start_span, trace_parent
from ..wire.engine_json import decode_status, encode_load, encode_unload
from .protocols import EngineError, EngineFault, LoadOrder, UnloadOrder

_SUCCESS = range(200, 300)
_CONFLICT = 409


class HttpEngineControl:
    """Connections to engines, owned by one task.

    Parameters
    ----------
    node
        Sent with every call.
    timeout_s
        Deadline of the connection, and again of the answer.

    """

    def __init__(self, node: NodeName, timeout_s: float) -> None:
        """Open nothing yet."""
        self._pools = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )
        self._node = node

    def status(self, address: Address) -> Result[EngineStatus, EngineError]:
        """Return the engine's own report."""
        return self._call('GET', f'http://{address}/v1/status')

    def load(
        self,
        address: Address,
        order: LoadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to load."""
        return self._order(address, encode_load(order))

    def unload(
        self,
        address: Address,
        order: UnloadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to leave its replica."""
        return self._order(address, encode_unload(order))

    def close(self) -> None:
        """Close all connections."""
        self._pools.clear()

    def _order(
        self,
        address: Address,
        body: bytes,
    ) -> Result[EngineStatus, EngineError]:
        with start_span('engine order', SpanKind.CLIENT):
            return self._call('POST', f'http://{address}/v1/orders', body)

    def _headers(self) -> dict[str, str]:
        return {'X-Client': self._node, **_trace_headers()}

    def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
    ) -> Result[EngineStatus, EngineError]:
        try:
            answer = self._pools.request(
                method, url, body=body, headers=self._headers(), redirect=False
            )
        except NewConnectionError as refused:
            return _fail(
                EngineFault.UNREACHABLE, str(refused), Execution.NOT_RUN
            )
        except ConnectTimeoutError as silent:
            return _fail(
                EngineFault.INTERRUPTED, str(silent), Execution.NOT_RUN
            )
        except HTTPError as cut:
            return _fail(EngineFault.INTERRUPTED, str(cut))
        if answer.status in _SUCCESS:
            return decode_status(answer.data)
        fault = EngineFault.REFUSED
        if answer.status == _CONFLICT:
            fault = EngineFault.STALE_EPOCH
        return _fail(fault, f'HTTP {answer.status}', Execution.NOT_RUN)


def _trace_headers() -> dict[str, str]:
    parent = trace_parent()
    return {'traceparent': parent} if parent else {}


def _fail(
    fault: EngineFault,
    message: str,
    execution: Execution = Execution.MAY_HAVE_RUN,
) -> Result[EngineStatus, EngineError]:
    return Failure(EngineError(fault, message, execution))
