"""Periods and deadlines of a controller."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ControlTimes:
    """Seconds of leases, watches, orders and grants.

    Parameters
    ----------
    renewal_s
        Period of the holder's heartbeat.
    lease_term_s
        Life of a lease, counted from before a renewal was sent.
    lease_margin_s
        What a taker waits beyond the term; longer than the life of an order.
    candidate_scan_s
        Period in which a controller looks at the leases that may become its.
    non_candidate_scan_s
        Period in which any other controller looks at them.
    min_uptime_s
        A controller must have been live this long to be handed a shard.
    hand_over_interval_s
        Least time between two voluntary hand-overs.
    scan_interval_s
        Period in which a shard's owner reads the replicas of all shards.
    watch_interval_s
        Period of an engine's status.
    watch_timeout_s
        Deadline of one status.
    lost_after_s
        Failing for so long, a member is lost.
    grant_life_s
        Life of a grant.
    order_timeout_s
        Deadline of the connection and of the answer of one order.
    load_timeout_s
        A replica that is not ready by then is given up.
    spread_wait_s
        A shard outside the preferred data centre forms only after this.
    drain_min_s
        A replica is drained for at least this long.
    drain_max_s
        A replica is released after this even if requests run.

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
        """Seconds from the queueing of an order to its end.

        It waits for its engine's task, for the connection and for the answer.
        """
        return 3 * self.order_timeout_s
