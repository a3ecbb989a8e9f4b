"""What holds requests back from targets."""

from ..decide.common_rate_limiter import CommonRateLimiter
from ..decide.rate_share import CommonRate
from ..decide.target_limits import TargetLimits
from ..decide.target_notices import TargetNotices
from ..model.entry_request import TargetAddress, TargetNotice
from ..model.fleet import Fleet, Target
from ..model.ids import NodeName
from ..model.log_parts import Part
from ..model.target_limits import TargetLimit
from ..tasks.log import part_logger

#: Seconds over which the requests to a target are counted against its limit.
LIMIT_WINDOW_S = 4.0
#: Least limit in requests a second that is kept to. A target that takes none
#: is still asked now and then, as only its answers tell that its limit ends.
MIN_LIMIT_PER_S = 0.25
#: The same window for the rate that a cold target bears.
COLD_WINDOW_S = 1.0

_log = part_logger(Part.CHOICE)


class TargetThrottles:
    """Notices of targets and the rates that they bear.

    Used by the dispatcher's task.

    Parameters
    ----------
    own
        This instance.

    """

    def __init__(self, own: NodeName) -> None:
        """Start without notices."""
        self._fleet = Fleet()
        self._notices = TargetNotices()
        self._limits = TargetLimits()
        self._limiter = CommonRateLimiter(own)
        self._cold_limiter = CommonRateLimiter(own)

    def change_fleet(self, fleet: Fleet, now_s: float) -> None:
        """Take in a new state of the fleet."""
        self._fleet = fleet
        self._notices.forget_old(fleet.targets, now_s)
        self._limits.forget_old(fleet.targets, now_s)
        for limiter in (self._limiter, self._cold_limiter):
            limiter.keep_only(fleet.targets)
            limiter.change_instances(fleet.listed_nodes(), now_s)

    def record_notice(
        self, destination: TargetAddress, notice: TargetNotice, now_s: float
    ) -> None:
        """Record what a target has asked for in an answer."""
        if not self._notices.record(destination, notice, now_s):
            return
        _log.info(
            'target %s asks for no more requests',
            destination.target,
            extra={
                'target': destination.target,
                'is_leaving': notice.is_leaving,
                'retry_after_s': notice.retry_after_s,
            },
        )

    def record_limit(self, limit: TargetLimit, now_s: float) -> bool:
        """Record the rate limit that a target has named, or its end.

        Returns
        -------
        bool
            Whether the target has a limit, or had one shortly before.

        """
        if self._limits.record(limit, now_s):
            _log.info(
                'the rate limit of target %s is now: %s',
                limit.target,
                limit.per_s,
                extra={
                    'target': limit.target,
                    'limit_per_s': limit.per_s,
                    'age_s': round(limit.age_s, 2),
                },
            )
        return self._limits.is_known(limit.target)

    def wait_s(self, target: Target, now_s: float) -> float:
        """Return the seconds until a target may get a request.

        Zero if it may now, infinite if it is leaving.
        """
        return max(
            self._notices.wait_s(target, now_s),
            self._limit_wait_s(target, now_s),
            self._cold_wait_s(target, now_s),
        )

    def count_request(self, target: Target) -> None:
        """Count a request that a target gets."""
        self._limiter.count(target.name)
        self._cold_limiter.count(target.name)

    def _limit_wait_s(self, target: Target, now_s: float) -> float:
        limit_per_s = self._limits.per_s(target.name)
        if limit_per_s is None:
            return 0
        rate = CommonRate(max(limit_per_s, MIN_LIMIT_PER_S), LIMIT_WINDOW_S)
        return self._limiter.wait_s(target.name, rate, now_s)

    def _cold_wait_s(self, target: Target, now_s: float) -> float:
        if target.cold_until_s <= now_s or self._fleet.config is None:
            return 0
        cold_per_s = self._fleet.config.services[
            target.service
        ].cold_requests_per_s
        if not cold_per_s:
            return 0
        rate = CommonRate(cold_per_s, COLD_WINDOW_S)
        return self._cold_limiter.wait_s(target.name, rate, now_s)
