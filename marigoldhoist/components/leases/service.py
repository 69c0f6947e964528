"""Lease service: acquires and renews leases by name."""

import random
import uuid
from functools import partial

from marigoldhoist.components.leases.const import (
    COMPONENT,
    RELEASE_TIMEOUT_S,
    RENEWALS_PER_TTL,
)
from marigoldhoist.components.leases.handle import LeaseHandle
from marigoldhoist.components.leases.models import (
    LeaseAction,
    LeaseRecord,
    LeaseStatus,
)
from marigoldhoist.components.leases.orders import OrderSender
from marigoldhoist.components.leases.state_machine import LeaseStateMachine
from marigoldhoist.components.platform_log.const import (
    COMPONENT as LOG,
)
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class LeaseService(BaseService):
    """Acquires and renews each requested lease on a thread of its own."""

    def __init__(self, kernel: Kernel) -> None:
        self.state_machine = LeaseStateMachine()
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._log.feeds_by_stream[TABLE_STREAM].add_fold(
            self.state_machine.apply
        )
        self._log.feeds_by_stream[TABLE_STREAM].add_part(
            COMPONENT, self.state_machine.dump, self.state_machine.restore
        )
        host = kernel.settings.section(DaemonSettings).host
        self._holder = f'{host}/{uuid.uuid4().hex}'
        self.orders = OrderSender()
        self._handle_by_name: dict[str, LeaseHandle] = {}

    def drain(self) -> None:
        """Release all leases of this daemon."""
        for handle in self._handle_by_name.values():
            handle.release(RELEASE_TIMEOUT_S)

    def status(self) -> LeaseStatus:
        """Return the lease status for operators."""
        held = [
            name
            for name, handle in self._handle_by_name.items()
            if handle.is_held
        ]
        return LeaseStatus(self.state_machine.state.lease_by_name, tuple(held))

    def hold(self, name: str, ttl_s: float) -> LeaseHandle:
        """Acquire the lease in the background and renew it until released.

        Calls with the same name return the same handle until it is released.
        Call this from `ready` or later.
        """
        known = self._handle_by_name.get(name)
        if known is not None and not known.released.is_set():
            return known
        ttl_ms = int(ttl_s * MS_PER_S)
        request = LeaseRecord(name, self._holder, LeaseAction.ACQUIRE, ttl_ms)
        handle = LeaseHandle(self._log, self.state_machine, request)
        self._handle_by_name[name] = handle
        self._kernel.spawn(f'lease-{name}', partial(self._maintain, handle))
        return handle

    def _maintain(self, handle: LeaseHandle) -> None:
        pause_s = handle.ttl_s / RENEWALS_PER_TTL
        # Jitter, so that hosts that start together do not all acquire at once.
        self._kernel.stopping.wait(random.uniform(0, pause_s))
        while not (handle.released.is_set() or self._kernel.stopping.is_set()):
            handle.renew_or_acquire()
            handle.released.wait(pause_s)
