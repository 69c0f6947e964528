"""Decide when a caller is sent the known daemons again.

Answers the load of a large fleet on its readers: each of N daemons reads
several times a second, and a list of N daemons in every reply would make the
traffic of a reader grow with the square of N.
"""

import dataclasses
from collections.abc import Callable

from marigoldhoist.components.mirrors.const import (
    MEMBER_TIMEOUT_S,
    MEMBERS_INTERVAL_S,
    NEW_MEMBERS_INTERVAL_S,
)


@dataclasses.dataclass(frozen=True, slots=True)
class SentMembers:
    """How many daemons a caller was sent, and when, in boot time."""

    count: int
    sent_s: float


class MemberUpdates:
    """Tracks which callers have recently been sent the known daemons."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._sent_by_host: dict[str, SentMembers] = {}

    def take(self, host: str, count: int) -> bool:
        """Return whether to send `count` daemons to a host now.

        If so, the host counts as having been sent them.
        """
        now_s = self._clock()
        if not self._is_due(host, count, now_s):
            return False
        self._remove_expired(now_s)
        self._sent_by_host[host] = SentMembers(count, now_s)
        return True

    def _is_due(self, host: str, count: int, now_s: float) -> bool:
        sent = self._sent_by_host.get(host)
        if sent is None:
            return True
        interval_s = (
            MEMBERS_INTERVAL_S
            if sent.count == count
            else NEW_MEMBERS_INTERVAL_S
        )
        return now_s - sent.sent_s >= interval_s

    def _remove_expired(self, now_s: float) -> None:
        for host, sent in tuple(self._sent_by_host.items()):
            if now_s - sent.sent_s > MEMBER_TIMEOUT_S:
                self._sent_by_host.pop(host)
