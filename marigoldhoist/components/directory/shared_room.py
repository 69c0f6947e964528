"""Share the room of a replica that falls over if it turns many requests away.

The replica counts what it turns away over all daemons, and daemons do not know
what the others send. Each keeps to its share of the slots, sends nothing to a
replica whose own count says that it is full, and stays away after a request was
turned away, for so long that all daemons together stay below the limit.
"""

import math
from typing import Final

# Share of the limit that the daemons use, as each may be turned away at any
# time within a second.
LIMIT_SHARE: Final = 0.2
# Time for which a replica's own count of its requests is used.
COUNT_TTL_S: Final = 1.0


class SharedRoom:
    """This daemon's share of the room of one replica.

    Times are in seconds of one monotonic clock. `rejections_per_s` is the limit
    that the replica named.
    """

    def __init__(self) -> None:
        self.rejections_per_s: float = 0
        self._daemons = 1
        self._closed_until_s = -math.inf

    def update(self, rejections_per_s: float, daemons: int) -> None:
        """Set the limit that the replica names for a number of daemons."""
        self.rejections_per_s = rejections_per_s
        self._daemons = daemons

    def copy(self) -> 'SharedRoom':
        """Return the room of another replica that is as brittle."""
        room = SharedRoom()
        room.update(self.rejections_per_s, self._daemons)
        return room

    def share(self, slots: int) -> int:
        """Return how many requests this daemon may have at the replica."""
        return max(1, slots // self._daemons)

    def is_closed(self, now_s: float) -> bool:
        """Return whether a request was turned away a short time ago."""
        return now_s < self._closed_until_s

    def note_rejection(self, now_s: float) -> float:
        """Record a request that was turned away; return the pause after it."""
        allowed_per_s = max(1, self.rejections_per_s) * LIMIT_SHARE
        pause_s = self._daemons / allowed_per_s
        self._closed_until_s = now_s + pause_s
        return pause_s
