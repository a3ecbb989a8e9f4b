"""How long a target may be silent before a request goes elsewhere."""

from ..model.serving import Route, RouteKind

#: Seconds between two events of a stream. The slowest step of a full group
#: takes a tenth of that for one event.
STREAM_GAP_S = 0.7
#: Shares of the target latency until the first event of a stream and until a
#: plain answer, with a floor in seconds.
FIRST_EVENT_SHARE = 3.0
PLAIN_SHARE = 2.0
FLOOR_S = 0.6


def stall_timeout_s(route: Route, has_begun: bool) -> float:
    """Return the seconds after which a silent target counts as lost.

    Parameters
    ----------
    route
        Route of the request.
    has_begun
        An event of the stream has come.

    """
    if route.kind is not RouteKind.STREAMING:
        return max(FLOOR_S, PLAIN_SHARE * route.target_latency_s)
    if has_begun:
        return STREAM_GAP_S
    return max(FLOOR_S, FIRST_EVENT_SHARE * route.target_latency_s)
