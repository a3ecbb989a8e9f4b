"""Decides after which time without progress an attempt counts as stalled."""

from ..model.serving import Route, RouteKind

#: Least seconds between two events of a stream after which it has stalled. The
#: slowest step of a full group takes a tenth of this for one event.
MIN_STREAM_GAP_S = 0.7
#: The same as a multiple of the route's longest pause that is on time.
STREAM_GAP_FACTOR = 1.75
#: Multiples of the route's target latency that an attempt may take until the
#: first event of a stream, and until the answer of another route.
FIRST_EVENT_FACTOR = 3.0
ANSWER_FACTOR = 2.0
#: Least seconds for both, whatever the target latency.
MIN_TIMEOUT_S = 0.6


def stall_timeout_s(route: Route, has_begun: bool) -> float:
    """Return the seconds without progress after which an attempt has failed.

    Parameters
    ----------
    route
        Route of the request, with its kind and target latency.
    has_begun
        The caller has received an event of the stream.

    """
    if route.kind is not RouteKind.STREAMING:
        return max(MIN_TIMEOUT_S, ANSWER_FACTOR * route.target_latency_s)
    if has_begun:
        return max(MIN_STREAM_GAP_S, STREAM_GAP_FACTOR * route.gap_s)
    return max(MIN_TIMEOUT_S, FIRST_EVENT_FACTOR * route.target_latency_s)
