"""Decides after which time without data an attempt counts as stalled."""

from ..model.serving import Route, RouteKind

#: Longest seconds between two events of a stream. The slowest step of a full
#: group takes a tenth of this for one event.
STREAM_GAP_S = 0.7
#: Multiples of the route's target latency that an attempt may take until the
#: first event of a stream, and until the answer of another route.
FIRST_EVENT_FACTOR = 3.0
ANSWER_FACTOR = 2.0
#: Least seconds for both, whatever the target latency.
MIN_TIMEOUT_S = 0.6


def stall_timeout_s(route: Route, has_begun: bool) -> float:
    """Return the seconds without data after which an attempt has failed.

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
        return STREAM_GAP_S
    return max(MIN_TIMEOUT_S, FIRST_EVENT_FACTOR * route.target_latency_s)
