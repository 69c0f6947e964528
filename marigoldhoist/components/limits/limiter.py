"""Hold one workspace or model to this daemon's share of its limits."""

import math
import threading

from marigoldhoist.components.limits.buckets import TokenBucket
from marigoldhoist.components.limits.const import (
    BURST_S,
    DAY_S,
    DEMAND_MEMORY_S,
    RETRY_AFTER_S,
    SPEND_BURST_S,
)
from marigoldhoist.components.table.models import LimitColumns


class Limiter:
    """Counts what runs and what was used; times are monotonic seconds."""

    def __init__(self, now_s: float) -> None:
        self._requests = TokenBucket(now_s, BURST_S)
        self._tokens = TokenBucket(now_s, BURST_S)
        self._spend = TokenBucket(now_s, SPEND_BURST_S)
        self._running = 0
        self._peak: float = 0
        self._arrivals = DecayedRate(now_s)
        self._used_tokens = DecayedRate(now_s)
        self._lock = threading.Lock()

    def admit(
        self, limits: LimitColumns, share: float, now_s: float
    ) -> float | None:
        """Count a request in; return the seconds to wait where it may not."""
        with self._lock:
            self._arrivals.add(1, now_s)
            wait_s = self._wait_s(limits, share, now_s)
            if wait_s > 0:
                return wait_s
            self._running += 1
            self._peak = max(self._peak, self._running)
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
        """Count a request out, with the tokens and the cost it used."""
        tokens, cost = usage
        with self._lock:
            self._running -= 1
            self._used_tokens.add(tokens, now_s)
        if limits.tokens_per_s:
            self._tokens.take(tokens, limits.tokens_per_s * share, now_s)
        if limits.spend_per_day:
            self._spend.take(cost, limits.spend_per_day * share / DAY_S, now_s)

    def demand(self, limits: LimitColumns, now_s: float) -> float:
        """Return the largest part of a limit that would be used here."""
        with self._lock:
            peak = max(self._peak, self._running)
            self._peak = self._running
            parts = (
                _part(self._arrivals.per_s(now_s), limits.requests_per_s),
                _part(self._used_tokens.per_s(now_s), limits.tokens_per_s),
                _part(peak, limits.concurrent),
            )
        return max(parts)

    def _wait_s(
        self, limits: LimitColumns, share: float, now_s: float
    ) -> float:
        most = max(1, math.floor(limits.concurrent * share))
        if limits.concurrent and self._running >= most:
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
    """A rate over the last seconds, older amounts weighing less."""

    def __init__(self, now_s: float) -> None:
        self._amount: float = 0
        self._since_s = now_s

    def add(self, amount: float, now_s: float) -> None:
        """Count an amount."""
        self._decay(now_s)
        self._amount += amount

    def per_s(self, now_s: float) -> float:
        """Return the amount in a second."""
        self._decay(now_s)
        return self._amount / DEMAND_MEMORY_S

    def _decay(self, now_s: float) -> None:
        passed_s = max(0, now_s - self._since_s)
        self._amount *= math.exp(-passed_s / DEMAND_MEMORY_S)
        self._since_s = now_s


def _part(used: float, limit: float) -> float:
    return used / limit if limit else 0
