"""Control of engines over HTTP: orders and status reports."""

from opentelemetry.trace import SpanKind
from returns.result import Failure, Result

from ..model.entry_request import Headers
from ..model.ids import Address, NodeName
from ..model.placement import EngineStatus
from ..model.request import Execution
from ..tasks.clock import MonotonicClock
from ..tasks.spans import start_span, trace_parent
from ..wire.engine_json import decode_status, encode_load, encode_unload
from ..wire.http_exchange import (
    ExchangeBounds,
    ExchangeError,
    ExchangeFault,
    HttpExchange,
)
from ..wire.target_link import RequestHead
from .protocols import EngineError, EngineFault, LoadOrder, UnloadOrder

_SUCCESS = range(200, 300)
_CONFLICT = 409
#: Largest report of an engine, in bytes.
_MAX_BODY_BYTES = 1024 * 1024


class HttpEngineControl:
    """Control client with connections of its own, owned by one task.

    Parameters
    ----------
    node
        Name of this node, sent as ``X-Client``.
    timeout_s
        Time-out of the connection, and again of the answer.

    """

    def __init__(self, node: NodeName, timeout_s: float) -> None:
        """Start without connections; the calls open them."""
        self._bounds = ExchangeBounds(timeout_s, _MAX_BODY_BYTES)
        self._clock = MonotonicClock()
        self._exchanges: dict[Address, HttpExchange] = {}
        self._node = node

    def status(self, address: Address) -> Result[EngineStatus, EngineError]:
        """Read the engine's report of itself."""
        return self._call(address, b'GET', b'/v1/status')

    def load(
        self,
        address: Address,
        order: LoadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to load; return its report."""
        return self._order(address, encode_load(order))

    def unload(
        self,
        address: Address,
        order: UnloadOrder,
    ) -> Result[EngineStatus, EngineError]:
        """Order one member to leave its replica; return its report."""
        return self._order(address, encode_unload(order))

    def close(self) -> None:
        """Close all connections."""
        for exchange in self._exchanges.values():
            exchange.close()
        self._exchanges.clear()

    def _order(
        self,
        address: Address,
        body: bytes,
    ) -> Result[EngineStatus, EngineError]:
        with start_span('engine order', SpanKind.CLIENT):
            return self._call(address, b'POST', b'/v1/orders', body)

    def _headers(self) -> Headers:
        sender = (b'X-Client', self._node.encode())
        parent = trace_parent()
        return (
            (sender, (b'traceparent', parent.encode())) if parent else (sender,)
        )

    def _call(
        self,
        address: Address,
        method: bytes,
        path: bytes,
        body: bytes = b'',
    ) -> Result[EngineStatus, EngineError]:
        exchange = self._exchanges.get(address)
        if exchange is None:
            exchange = HttpExchange(address, self._bounds, self._clock)
            self._exchanges[address] = exchange
        head = RequestHead(method, path, self._headers())
        exchanged = exchange.send(head, body, self._bounds.connect_s)
        if isinstance(exchanged, Failure):
            return _failed_exchange(exchanged.failure())
        answer = exchanged.unwrap()
        if answer.status in _SUCCESS:
            return decode_status(answer.body)
        fault = EngineFault.REFUSED
        if answer.status == _CONFLICT:
            fault = EngineFault.STALE_EPOCH
        return _fail(fault, f'HTTP {answer.status}', Execution.NOT_RUN)


def _failed_exchange(
    error: ExchangeError,
) -> Result[EngineStatus, EngineError]:
    match error.fault:
        case ExchangeFault.REFUSED:
            return _fail(
                EngineFault.UNREACHABLE, error.message, Execution.NOT_RUN
            )
        case ExchangeFault.UNCONNECTED:
            return _fail(
                EngineFault.INTERRUPTED, error.message, Execution.NOT_RUN
            )
        case _:
            return _fail(EngineFault.INTERRUPTED, error.message)


def _fail(
    fault: EngineFault,
    message: str,
    execution: Execution = Execution.MAY_HAVE_RUN,
) -> Result[EngineStatus, EngineError]:
    return Failure(EngineError(fault, message, execution))
