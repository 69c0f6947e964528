"""Admission control for one workspace or model at one daemon."""

import math
import threading

from marigoldhoist.components.limits.buckets import TokenBucket
from marigoldhoist.components.limits.const import (
    BURST_S,
    DAY_S,
    DEMAND_DECAY_S,
    RETRY_AFTER_S,
    SPEND_BURST_S,
)
from marigoldhoist.components.table.models import LimitColumns


class Limiter:
    """Enforces this daemon's share of the limits of a workspace or model.

    All times are monotonic seconds.
    """

    def __init__(self, now_s: float) -> None:
        self._requests = TokenBucket(now_s, BURST_S)
        self._tokens = TokenBucket(now_s, BURST_S)
        self._spend = TokenBucket(now_s, SPEND_BURST_S)
        self._in_flight = 0
        self._peak_in_flight: float = 0
        self._arrivals = DecayedRate(now_s)
        self._used_tokens = DecayedRate(now_s)
        self._lock = threading.Lock()

    def admit(
        self, limits: LimitColumns, share: float, now_s: float
    ) -> float | None:
        """Admit a request, or return the seconds until it may be retried."""
        with self._lock:
            self._arrivals.add(1, now_s)
            wait_s = self._wait_s(limits, share, now_s)
            if wait_s > 0:
                return wait_s
            self._in_flight += 1
            self._peak_in_flight = max(self._peak_in_flight, self._in_flight)
        if limits.requests_per_s:
            self._requests.take(1, limits.requests_per_s * share, now_s)
        return None

    def settle(
        self,
        limits: LimitColumns,
        share: float,
        now_s: float,
        usage: tuple[int, float],
    ) -> None:
        """Record the end of a request, with its tokens and its cost."""
        tokens, cost = usage
        with self._lock:
            self._in_flight -= 1
            self._used_tokens.add(tokens, now_s)
        if limits.tokens_per_s:
            self._tokens.take(tokens, limits.tokens_per_s * share, now_s)
        if limits.spend_per_day:
            self._spend.take(cost, limits.spend_per_day * share / DAY_S, now_s)

    def demand(self, limits: LimitColumns, now_s: float) -> float:
        """Return the local demand as a fraction of the most used limit.

        Rejected requests count as demand too, so it may exceed one. Each call
        restarts the measurement of the peak concurrency.
        """
        with self._lock:
            peak = max(self._peak_in_flight, self._in_flight)
            self._peak_in_flight = self._in_flight
            fractions = (
                _fraction(self._arrivals.per_s(now_s), limits.requests_per_s),
                _fraction(self._used_tokens.per_s(now_s), limits.tokens_per_s),
                _fraction(peak, limits.concurrent),
            )
        return max(fractions)

    def _wait_s(
        self, limits: LimitColumns, share: float, now_s: float
    ) -> float:
        max_in_flight = max(1, math.floor(limits.concurrent * share))
        if limits.concurrent and self._in_flight >= max_in_flight:
            return RETRY_AFTER_S
        waits = [
            bucket.wait_s(rate * share, now_s)
            for bucket, rate in (
                (self._requests, limits.requests_per_s),
                (self._tokens, limits.tokens_per_s),
                (self._spend, limits.spend_per_day / DAY_S),
            )
            if rate
        ]
        return max(waits, default=0)


class DecayedRate:
    """Exponentially decayed rate per second."""

    def __init__(self, now_s: float) -> None:
        self._amount: float = 0
        self._since_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self._decay(now_s)
        self._amount += amount

    def per_s(self, now_s: float) -> float:
        """Return the decayed average amount per second."""
        self._decay(now_s)
        return self._amount / DEMAND_DECAY_S

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._since_s)
        self._amount *= math.exp(-elapsed_s / DEMAND_DECAY_S)
        self._since_s = now_s


def _fraction(used: float, limit: float) -> float:
    return used / limit if limit else 0
