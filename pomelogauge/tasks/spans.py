"""Spans of the hops inside and between processes."""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from ..model.ids import RequestId

_TRACE_PARENT = 'traceparent'
_propagator = TraceContextTextMapPropagator()


@contextmanager
def start_span(
    name: str,
    kind: SpanKind = SpanKind.INTERNAL,
    parent: str = '',
    request: RequestId | None = None,
) -> Iterator[Span]:
    """Span one hop of a request or an order.

    Parameters
    ----------
    name
        Name of the hop, such as ``router request``.
    kind
        Server, client or internal.
    parent
        Trace context header of the caller; empty for the present span.
    request
        Identifier of the request, an attribute of the span.

    """
    carrier = {_TRACE_PARENT: parent} if parent else {}
    context = _propagator.extract(carrier) if parent else None
    tracer = trace.get_tracer('pomelogauge')
    with tracer.start_as_current_span(name, context, kind) as span:
        if request:
            span.set_attribute('pomelogauge.request', request)
        yield span


def trace_parent() -> str:
    """Return the trace context header of the present span, or nothing."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(_TRACE_PARENT, '')
