"""What the tasks of all callers' connections share."""

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
from .dispatch_messages import DispatchMessage
from .messages import PartMessage
from .requests_in_progress import InProgressMessage

RequestChart = Chart[RequestState, RequestEvent, RequestAction, RequestFacts]


def load_request_chart() -> RequestChart:
    """Load the state chart of a request."""
    return load_chart('entry_request', REQUEST_WORDS)


@dataclass(frozen=True)
class RequestPorts:
    """Tasks, published values and settings that serve a request.

    Parameters
    ----------
    chart
        State chart of a request.
    codec
        Translates requests and answers.
    published_fleet
        Newest state of the fleet; read only.
    leaving
        Whether this instance is shutting down.
    dispatcher
        Grants slots at targets.
    in_progress
        Counts the requests that have not been answered wholly.
    metrics
        Collects counts and times.
    parts
        Learns which parts of prompts are served and under which targets crash.
    bounds
        Ages up to which the configuration may be used.
    clock
        Local clock.

    """

    chart: RequestChart
    codec: RequestCodec
    published_fleet: Published[Fleet]
    leaving: Published[bool]
    dispatcher: Outbox[DispatchMessage]
    in_progress: Outbox[InProgressMessage]
    metrics: Outbox[MetricsMessage]
    parts: Outbox[PartMessage]
    bounds: AdmissionBounds
    clock: Clock
