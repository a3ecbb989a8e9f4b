"""OpenTelemetry spans within a process and between processes."""

from collections.abc import Iterator
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from ..model.ids import RequestId

_TRACE_PARENT_HEADER = 'traceparent'
_propagator = TraceContextTextMapPropagator()


@contextmanager
def start_span(
    name: str,
    kind: SpanKind = SpanKind.INTERNAL,
    parent: str = '',
    request: RequestId | None = None,
) -> Iterator[Span]:
    """Run the body of a ``with`` statement in a span of its own.

    Parameters
    ----------
    name
        Name of the span, such as ``router request``.
    kind
        Server, client or internal.
    parent
        Trace context header of the caller; empty when the current span is
        the parent.
    request
        Identifier of the request, stored as an attribute of the span;
        ``None`` for a span that belongs to no request.

    """
    carrier = {_TRACE_PARENT_HEADER: parent} if parent else {}
    context = _propagator.extract(carrier) if parent else None
    tracer = trace.get_tracer('pomelogauge')
    with tracer.start_as_current_span(name, context, kind) as span:
        if request:
            span.set_attribute('pomelogauge.request', request)
        yield span


def trace_parent() -> str:
    """Return the trace context header of the current span.

    It is empty when no span is current.
    """
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(_TRACE_PARENT_HEADER, '')
