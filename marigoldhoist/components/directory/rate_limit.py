"""Share the rate that a replica takes from all daemons among the daemons.

Each daemon sends at its share of the rate without exchanging messages. Its
turns begin at a random phase, so that the turns of many daemons are spread, and
a turn that is not used expires: daemons that were idle would otherwise send all
their unused requests at once.
"""

import math
import random
from typing import Final

# Share of the named rate that the daemons use. Turns with random phases come in
# bursts, the more daemons there are.
RATE_SHARE: Final = 0.8
# Time after which an unused turn expires. The replica may get this many seconds
# of its rate at once.
TURN_TTL_S: Final = 1.5


class SharedRateLimit:
    """This daemon's share of the requests that a replica takes.

    Times are in seconds of one monotonic clock, rates in requests per second.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._interval_s: float = 0
        self._turn_s = -math.inf
        self.rate_per_s: float = 0

    def update(self, rate_per_s: float, daemons: int, now_s: float) -> None:
        """Set the rate that the replica takes from a number of daemons."""
        before_s = self._interval_s
        self.rate_per_s = rate_per_s
        if not rate_per_s:
            self._interval_s = 0
            return
        self._interval_s = daemons / (RATE_SHARE * rate_per_s)
        if not before_s:
            self._turn_s = now_s + self._rng.random() * self._interval_s
        elif self._turn_s > now_s:
            wait_s = (self._turn_s - now_s) * self._interval_s / before_s
            self._turn_s = now_s + wait_s

    def allows(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        if not self.rate_per_s:
            return False
        self._expire_turns(now_s)
        return now_s >= self._turn_s

    def take(self, now_s: float) -> None:
        """Count a request that is sent now."""
        if self.rate_per_s:
            self._expire_turns(now_s)
            self._turn_s += self._interval_s

    def _expire_turns(self, now_s: float) -> None:
        unused_s = now_s - TURN_TTL_S - self._turn_s
        if unused_s > 0:
            self._turn_s += math.ceil(unused_s / self._interval_s) * (
                self._interval_s
            )
