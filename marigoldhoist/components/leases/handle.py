"""Acquire and renew one lease."""

import random
import threading

from result import Err

from marigoldhoist.components.leases.const import (
    APPEND_TIMEOUT_S,
    LEASE_KIND,
    NO_FENCE,
    TTL_MARGIN_FRACTION,
)
from marigoldhoist.components.leases.events import LEASE_LOST, LEASE_WON
from marigoldhoist.components.leases.models import (
    Lease,
    LeaseAction,
    LeaseRecord,
)
from marigoldhoist.components.leases.state_machine import LeaseStateMachine
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.platform_log.service import LogAccess
from marigoldhoist.core.clock import SYSTEM_CLOCK, Clock
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.events import emit


class LeaseHandle:
    """A lease that this process tries to hold.

    Callers must check `is_held` before each action that needs the lease. The
    holder name must be unique to the process, so that a restarted daemon does
    not mistake the lease of its previous process for its own.
    """

    def __init__(
        self,
        log: LogAccess,
        state_machine: LeaseStateMachine,
        request: LeaseRecord,
        clock: Clock = SYSTEM_CLOCK,
    ) -> None:
        self.name = request.name
        self.ttl_s = request.ttl_ms / MS_PER_S
        self.released = threading.Event()
        self._log = log
        self._state_machine = state_machine
        self._request = request
        self._clock = clock
        self._valid_until_s: float = 0
        self._was_held = False
        self._acquired_fence = NO_FENCE
        self._acquired_s: float = 0
        self._observed: Lease | None = None
        self._observed_s = clock.monotonic_s()
        self._expiry_jitter = random.random()

    @property
    def is_held(self) -> bool:
        """Return whether this process may act under the lease now."""
        return self.fence is not None

    @property
    def fence(self) -> int | None:
        """Return the fencing token, or None if the lease is not held."""
        lease = self._own_lease()
        if lease is None or self._clock.monotonic_s() >= self._valid_until_s:
            return None
        return lease.fence

    @property
    def held_s(self) -> float:
        """Return the seconds since acquisition, or zero if not held."""
        if self.fence is None:
            return 0
        return self._clock.monotonic_s() - self._acquired_s

    def renew_or_acquire(self) -> None:
        """Renew an own lease, or acquire one that appears to have expired."""
        lease = self._state_machine.lease(self.name)
        if self._own_lease() is not None:
            self._submit(LeaseAction.RENEW, lease)
        elif self._appears_expired(lease):
            self._submit(LeaseAction.ACQUIRE, lease)
        self._emit_transition()

    def release(self, timeout_s: float = APPEND_TIMEOUT_S) -> None:
        """Stop acting under the lease and make it available to others."""
        self.released.set()
        self._valid_until_s = 0
        lease = self._own_lease()
        if lease is not None:
            self._append(LeaseAction.RELEASE, lease.fence, timeout_s)

    def _own_lease(self) -> Lease | None:
        lease = self._state_machine.lease(self.name)
        if lease is None or lease.is_released:
            return None
        return lease if lease.holder == self._request.holder else None

    def _appears_expired(self, lease: Lease | None) -> bool:
        if lease != self._observed:
            self._observed = lease
            self._observed_s = self._clock.monotonic_s()
        if lease is None or lease.is_released:
            return True
        # The random part of the wait keeps contenders from acquiring at once.
        waited_s = self._clock.monotonic_s() - self._observed_s
        expiry_wait_ttls = 1 + TTL_MARGIN_FRACTION + self._expiry_jitter
        return waited_s > expiry_wait_ttls * lease.ttl_ms / MS_PER_S

    def _submit(self, action: LeaseAction, lease: Lease | None) -> None:
        submitted_s = self._clock.monotonic_s()
        fence = lease.fence if lease else NO_FENCE
        if not self._append(action, fence, APPEND_TIMEOUT_S):
            return
        own = self._own_lease()
        if own is not None and not self.released.is_set():
            if own.fence != self._acquired_fence:
                self._acquired_fence = own.fence
                self._acquired_s = self._clock.monotonic_s()
            # Counted from before the append, so that the local validity ends
            # before the log lets the lease expire.
            self._valid_until_s = submitted_s + self.ttl_s * (
                1 - TTL_MARGIN_FRACTION
            )

    def _append(
        self, action: LeaseAction, fence: int, timeout_s: float
    ) -> bool:
        request = LeaseRecord(
            self.name,
            self._request.holder,
            action,
            self._request.ttl_ms,
            fence,
        )
        record = new_record(LEASE_KIND, request)
        appended = self._log.append(TABLE_STREAM, (record,), timeout_s)
        if isinstance(appended, Err):
            return False
        feed = self._log.feeds_by_stream[TABLE_STREAM]
        return feed.wait_until_folded(appended.ok_value[0], timeout_s)

    def _emit_transition(self) -> None:
        if self.is_held == self._was_held:
            return
        self._was_held = not self._was_held
        event = LEASE_WON if self._was_held else LEASE_LOST
        emit(event, lease=self.name)
