"""Set-up of OpenTelemetry: one span for each hop, as lines of JSON."""

import sys
from typing import IO

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
)

from ..model.ids import NodeName

#: Name of the file setting that means standard error.
STANDARD_ERROR = '-'


def set_up_traces(trace_file: str, node: NodeName, role: str) -> None:
    """Export spans from now on.

    Parameters
    ----------
    trace_file
        File that is appended to; ``-`` is standard error; empty exports
        nothing, and spans cost next to nothing.
    node
        Name of the process in the spans.
    role
        Router or controller.

    """
    if not trace_file:
        return
    resource = Resource.create(
        {'service.name': f'pomelogauge-{role}', 'service.instance.id': node},
    )
    exporter = ConsoleSpanExporter(out=_open(trace_file), formatter=_line)
    provider = TracerProvider(resource=resource)
    provider.add_span_processor(BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)


def _open(trace_file: str) -> IO[str]:
    if trace_file == STANDARD_ERROR:
        return sys.stderr
    # The file stays open until the process ends.
    return open(trace_file, 'a', encoding='utf-8')  # noqa: SIM115, WPS515


def _line(span: ReadableSpan) -> str:
    return f'{span.to_json(indent=None)}\n'
