"""Intervals and time-outs of a controller."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ControlTimes:
    """Intervals and time-outs of leases, polls, orders and grants.

    Parameters
    ----------
    renewal_s
        Interval in which a controller renews its leases.
    lease_term_s
        Term of a lease; its holder counts it from before the renewal was
        sent.
    lease_margin_s
        Time beyond the term after which another controller may take the
        lease. It has to be longer than ``order_life_s``, so that no order of
        the former holder is under way by then.
    candidate_scan_s
        Interval in which a controller reads the leases of shards that it is a
        candidate for.
    non_candidate_scan_s
        Interval in which a controller reads the leases if it is a candidate
        for none.
    min_uptime_s
        Time for which a controller must have been live before a shard is
        handed over to it.
    hand_over_interval_s
        Shortest time between two voluntary hand-overs by one controller.
    scan_interval_s
        Mean interval in which the owner of a shard reads the replicas of all
        shards.
    watch_interval_s
        Poll interval of an engine's status.
    watch_timeout_s
        Time-out of one poll.
    lost_after_s
        Time without a successful poll after which a member is lost.
    grant_life_s
        Time for which a grant is valid.
    order_timeout_s
        Time-out of the connection, and again of the answer, of one order.
    load_timeout_s
        Time after which the formation of a replica is given up.
    spread_wait_s
        Time for which a replica must have been missing before a shard outside
        the preferred data centre forms it.
    drain_min_s
        Shortest time for which a replica is drained, also if it is idle.
    drain_max_s
        Time after which a draining replica is released although requests run.

    """

    renewal_s: float = 0.5
    lease_term_s: float = 2.0
    lease_margin_s: float = 1.0
    candidate_scan_s: float = 1.0
    non_candidate_scan_s: float = 10.0
    min_uptime_s: float = 10.0
    hand_over_interval_s: float = 2.0
    scan_interval_s: float = 1.0
    watch_interval_s: float = 0.25
    watch_timeout_s: float = 0.5
    lost_after_s: float = 1.0
    grant_life_s: float = 1.5
    order_timeout_s: float = 0.5
    load_timeout_s: float = 60.0
    spread_wait_s: float = 2.0
    drain_min_s: float = 3.0
    drain_max_s: float = 120.0

    @property
    def order_life_s(self) -> float:
        """Longest time in seconds from queueing an order to its end.

        The order waits for its engine's task, for the connection and for the
        answer, each for at most ``order_timeout_s``.
        """
        return 3 * self.order_timeout_s
