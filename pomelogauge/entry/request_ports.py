"""Whom a request's task talks to, and the bounds of a request."""

from dataclasses import dataclass

from ..charts.reader import load_chart
from ..decide.entry_request_chart import (
    REQUEST_WORDS,
    RequestAction,
    RequestEvent,
    RequestFacts,
    RequestState,
)
from ..decide.serving_rules import AdmissionBounds
from ..model.chart import Chart
from ..model.fleet import Fleet
from ..tasks.clock import Clock
from ..tasks.mailbox import Outbox
from ..tasks.metrics import MetricsMessage
from ..tasks.published import Published
from .codecs import RequestCodec
from .messages import DispatchMessage

RequestChart = Chart[RequestState, RequestEvent, RequestAction, RequestFacts]


def load_request_chart() -> RequestChart:
    """Read the chart of a request."""
    return load_chart('entry_request', REQUEST_WORDS)


@dataclass(frozen=True)
class RequestPorts:
    """Shared by the tasks of all callers' connections.

    Parameters
    ----------
    chart
        Chart of a request.
    codec
        Translates requests and answers.
    published_fleet
        Picture of the fleet.
    leaving
        Whether the instance ends.
    dispatcher
        Gives places.
    metrics
        Takes counts and times.
    bounds
        Ages of knowledge.
    clock
        Own clock.

    """

    chart: RequestChart
    codec: RequestCodec
    published_fleet: Published[Fleet]
    leaving: Published[bool]
    dispatcher: Outbox[DispatchMessage]
    metrics: Outbox[MetricsMessage]
    bounds: AdmissionBounds
    clock: Clock
