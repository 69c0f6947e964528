"""Remember for a moment which replicas this daemon uses for a version."""

from collections.abc import Callable
from typing import Final

from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock

KEPT_S: Final = 0.25

Find = Callable[[str], list[Replica]]


class NearReplicas:
    """Finds replicas anew after a while, as to find them costs much.

    Only waits are estimated from them; a request that is sent finds its
    replicas itself.
    """

    def __init__(self, find: Find, clock: Clock = SYSTEM_CLOCK) -> None:
        self._find = find
        self._clock = clock
        self._found: dict[str, tuple[float, list[Replica]]] = {}

    def of(self, serving: str) -> list[Replica]:
        """Return the replicas that take new work."""
        now_s = self._clock.monotonic_s()
        known = self._found.get(serving)
        if known is None or known[0] < now_s:
            known = (now_s + KEPT_S, self._find(serving))
            self._found[serving] = known
        return [replica for replica in known[1] if not replica.is_leaving]
