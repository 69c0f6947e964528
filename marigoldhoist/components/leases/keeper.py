"""Win and keep one lease."""

import random
import threading

from result import Err

from marigoldhoist.components.leases.const import (
    APPEND_TIMEOUT_S,
    LEASE_KIND,
    MARGIN_FRACTION,
    NO_FENCE,
)
from marigoldhoist.components.leases.events import LEASE_LOST, LEASE_WON
from marigoldhoist.components.leases.fold import LeaseFold
from marigoldhoist.components.leases.models import (
    Lease,
    LeaseAction,
    LeaseRecord,
)
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.platform_log.service import LogAccess
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit


class LeaseHandle:
    """One wanted lease; check `is_held` before each act under it.

    The holder must be unique to the process, so that a restarted host does
    not take its predecessor's lease for its own.
    """

    def __init__(
        self,
        log: LogAccess,
        fold: LeaseFold,
        wanted: LeaseRecord,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self.name = wanted.name
        self.ttl_s = wanted.ttl_ms / MS_PER_S
        self.given_up = threading.Event()
        self._log = log
        self._fold = fold
        self._wanted = wanted
        self._clock = clock
        self._safe_until_s: float = 0
        self._was_held = False
        self._won_fence = NO_FENCE
        self._won_s: float = 0
        self._seen: Lease | None = None
        self._seen_s = clock.monotonic_s()
        self._patience = random.random()

    @property
    def is_held(self) -> bool:
        """Tell whether this process may act under the lease now."""
        return self.fence is not None

    @property
    def fence(self) -> int | None:
        """Return the fencing number, or none where the lease is not held."""
        lease = self._own_lease()
        if lease is None or self._clock.monotonic_s() >= self._safe_until_s:
            return None
        return lease.fence

    @property
    def held_s(self) -> float:
        """Return the seconds since the lease was won, zero if not held."""
        if self.fence is None:
            return 0
        return self._clock.monotonic_s() - self._won_s

    def step(self) -> None:
        """Renew the lease if it is held, claim it if it looks lapsed."""
        lease = self._fold.lease(self.name)
        if self._own_lease() is not None:
            self._send(LeaseAction.RENEW, lease)
        elif self._looks_lapsed(lease):
            self._send(LeaseAction.ACQUIRE, lease)
        self._note_change()

    def release(self, timeout_s: float = APPEND_TIMEOUT_S) -> None:
        """Stop acting and let another process have the lease."""
        self.given_up.set()
        self._safe_until_s = 0
        lease = self._own_lease()
        if lease is not None:
            self._append(LeaseAction.RELEASE, lease.fence, timeout_s)

    def _own_lease(self) -> Lease | None:
        lease = self._fold.lease(self.name)
        if lease is None or lease.is_released:
            return None
        return lease if lease.holder == self._wanted.holder else None

    def _looks_lapsed(self, lease: Lease | None) -> bool:
        if lease != self._seen:
            self._seen = lease
            self._seen_s = self._clock.monotonic_s()
        if lease is None or lease.is_released:
            return True
        # Contenders wait unequally long, so that few of them claim at once.
        waited_s = self._clock.monotonic_s() - self._seen_s
        patience = 1 + MARGIN_FRACTION + self._patience
        return waited_s > patience * lease.ttl_ms / MS_PER_S

    def _send(self, action: LeaseAction, lease: Lease | None) -> None:
        sent_s = self._clock.monotonic_s()
        fence = lease.fence if lease else NO_FENCE
        if not self._append(action, fence, APPEND_TIMEOUT_S):
            return
        own = self._own_lease()
        if own is not None and not self.given_up.is_set():
            if own.fence != self._won_fence:
                self._won_fence = own.fence
                self._won_s = self._clock.monotonic_s()
            # The log's expiry counts from the append, which came later.
            self._safe_until_s = sent_s + self.ttl_s * (1 - MARGIN_FRACTION)

    def _append(
        self, action: LeaseAction, fence: int, timeout_s: float
    ) -> bool:
        asked = LeaseRecord(
            self.name,
            self._wanted.holder,
            action,
            self._wanted.ttl_ms,
            fence,
        )
        record = new_record(LEASE_KIND, asked)
        appended = self._log.append(TABLE_STREAM, (record,), timeout_s)
        if isinstance(appended, Err):
            return False
        feed = self._log.feeds_by_stream[TABLE_STREAM]
        return feed.wait_until_folded(appended.ok_value[0], timeout_s)

    def _note_change(self) -> None:
        if self.is_held == self._was_held:
            return
        self._was_held = not self._was_held
        event = LEASE_WON if self._was_held else LEASE_LOST
        emit(event, lease=self.name)
