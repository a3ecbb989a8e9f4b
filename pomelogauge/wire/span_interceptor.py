"""Server spans for peers' calls that carry a trace context."""

from collections.abc import Callable
from typing import Any

import grpc
from opentelemetry.trace import SpanKind

from ..tasks.spans import start_span
from .metadata import TRACE_KEY


class SpanInterceptor(grpc.ServerInterceptor):  # type: ignore[misc]
    """Continues the trace of the calling peer; other calls get no span.

    Gossip and exchanges run several times a second and belong to no request.
    Spans for them would crowd out those of requests.
    """

    def intercept_service(
        self,
        continuation: Callable[[Any], Any],
        handler_call_details: Any,
    ) -> Any:
        """Return the handler, wrapped in a span if the call has a trace."""
        handler = continuation(handler_call_details)
        metadata = dict(handler_call_details.invocation_metadata)
        parent = str(metadata.get(TRACE_KEY, ''))
        if handler is None or not parent:
            return handler
        name = handler_call_details.method.rpartition('/')[2]
        return grpc.unary_unary_rpc_method_handler(
            _within_span(handler.unary_unary, f'peer {name}', parent),
            handler.request_deserializer,
            handler.response_serializer,
        )


def _within_span(
    behaviour: Callable[[Any, Any], Any],
    name: str,
    parent: str,
) -> Callable[[Any, Any], Any]:
    def spanned(request: Any, context: Any) -> Any:  # noqa: WPS430
        with start_span(name, SpanKind.SERVER, parent):
            return behaviour(request, context)

    return spanned
