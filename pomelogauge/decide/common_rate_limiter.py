"""Keeps this instance to its shares of rates that hold for all instances."""

from collections.abc import Container
from dataclasses import dataclass, replace

from ..model.ids import NodeName, TargetName
from .rate_share import NO_SHARE, CommonRate, RateShare, rate_share

#: Seconds for which an instance that is not listed any more keeps its shares. A
#: new owner may list only a few instances at first.
GONE_S = 2.0


@dataclass(frozen=True)
class _Bucket:
    """Token bucket of one target.

    Parameters
    ----------
    rate
        Rate of all instances together.
    listed
        Instances among which the rate was divided.
    share
        Share of this instance.
    tokens
        Requests that may be sent at ``at_s``.
    at_s
        Time of the local clock as of which the tokens were counted.

    """

    rate: CommonRate
    listed: tuple[NodeName, ...]
    share: RateShare
    tokens: float
    at_s: float

    def refilled(self, now_s: float) -> '_Bucket':
        """Return the bucket with the tokens that have come since."""
        added = (now_s - self.at_s) * self.share.per_s
        tokens = min(self.share.burst, self.tokens + added)
        return replace(self, tokens=tokens, at_s=now_s)


class _Sharers:
    """Instances among which rates are divided."""

    def __init__(self) -> None:
        """Start without knowing any instance."""
        self._listed: tuple[NodeName, ...] = ()
        self._gone_until: dict[NodeName, float] = {}
        self._all: tuple[NodeName, ...] = ()

    def update(self, listed: tuple[NodeName, ...], now_s: float) -> None:
        """Set the instances that are listed now."""
        if listed == self._listed:
            return
        gone = frozenset(self._listed).difference(listed)
        self._gone_until = {
            node: until_s
            for node, until_s in self._gone_until.items()
            if node not in listed
        } | dict.fromkeys(gone, now_s + GONE_S)
        self._listed = listed
        self._all = tuple(sorted((*listed, *self._gone_until)))

    def at(self, now_s: float) -> tuple[NodeName, ...]:
        """Return those that are listed, or were shortly before."""
        expired = [
            node
            for node, until_s in self._gone_until.items()
            if until_s <= now_s
        ]
        for node in expired:
            self._gone_until.pop(node)
        if expired:
            self._all = tuple(sorted((*self._listed, *self._gone_until)))
        return self._all


class CommonRateLimiter:
    """Rate limiter with one token bucket for each target.

    Used by the dispatcher's task.

    Parameters
    ----------
    own
        This instance.

    """

    def __init__(self, own: NodeName) -> None:
        """Start without targets, and without knowing other instances."""
        self._own = own
        self._sharers = _Sharers()
        self._buckets: dict[TargetName, _Bucket] = {}

    def change_instances(
        self, listed: tuple[NodeName, ...], now_s: float
    ) -> None:
        """Set the instances that live; empty while they are unknown."""
        self._sharers.update(listed, now_s)

    def wait_s(
        self, target: TargetName, rate: CommonRate, now_s: float
    ) -> float:
        """Return the seconds until one more request stays within the rate.

        Zero if it does now. Without a share, the time in which another
        instance may send one.
        """
        bucket = self._bucket(target, rate, now_s).refilled(now_s)
        self._buckets[target] = bucket
        if bucket.share == NO_SHARE:
            return 1 / rate.per_s
        return max(0, 1 - bucket.tokens) / bucket.share.per_s

    def count(self, target: TargetName) -> None:
        """Count a request that is sent to a target, limited or not."""
        bucket = self._buckets.get(target)
        if bucket is not None:
            tokens = max(0, bucket.tokens - 1)
            self._buckets[target] = replace(bucket, tokens=tokens)

    def keep_only(self, listed: Container[TargetName]) -> None:
        """Forget the buckets of targets that are not listed any more."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if name in listed
        }

    def _bucket(
        self, target: TargetName, rate: CommonRate, now_s: float
    ) -> _Bucket:
        known = self._buckets.get(target)
        listed = self._sharers.at(now_s)
        if known is None:
            share = rate_share(rate, target, self._own, listed)
            tokens = share.burst if listed else 0
            return _Bucket(rate, listed, share, tokens, now_s)
        if (known.rate, known.listed) == (rate, listed):
            return known
        # Tokens are kept. An instance that joins the sharers begins without
        # any: those that it replaces may have used up theirs.
        share = rate_share(rate, target, self._own, listed)
        return replace(
            known.refilled(now_s), rate=rate, listed=listed, share=share
        )
