"""The lease service: hold leases by name."""

import random
import uuid
from functools import partial

from marigoldhoist.components.leases.const import (
    COMPONENT,
    RELEASE_TIMEOUT_S,
    RENEWALS_PER_TTL,
)
from marigoldhoist.components.leases.fold import LeaseFold
from marigoldhoist.components.leases.keeper import LeaseHandle
from marigoldhoist.components.leases.models import (
    LeaseAction,
    LeaseRecord,
    LeaseStatus,
)
from marigoldhoist.components.leases.orders import OrderSender
from marigoldhoist.components.platform_log.const import (
    COMPONENT as LOG,
)
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel


class LeaseService(BaseService):
    """Keeps each wanted lease on a thread of its own."""

    def __init__(self, kernel: Kernel) -> None:
        self.fold = LeaseFold()
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._log.feeds_by_stream[TABLE_STREAM].add_fold(self.fold.apply)
        self._log.feeds_by_stream[TABLE_STREAM].add_part(
            COMPONENT, self.fold.dump, self.fold.restore
        )
        host = kernel.settings.section(DaemonSettings).host
        self._holder = f'{host}/{uuid.uuid4().hex}'
        self.orders = OrderSender()
        self._handle_by_name: dict[str, LeaseHandle] = {}

    def drain(self) -> None:
        """Release what is held."""
        for handle in self._handle_by_name.values():
            handle.release(RELEASE_TIMEOUT_S)

    def status(self) -> LeaseStatus:
        """Return what operators see of the leases."""
        held = [
            name
            for name, handle in self._handle_by_name.items()
            if handle.is_held
        ]
        return LeaseStatus(self.fold.state.lease_by_name, tuple(held))

    def hold(self, name: str, ttl_s: float) -> LeaseHandle:
        """Try to win the lease, and to keep it, until it is released.

        The same name gives the same handle; call this from `ready`.
        """
        known = self._handle_by_name.get(name)
        if known is not None and not known.given_up.is_set():
            return known
        ttl_ms = int(ttl_s * MS_PER_S)
        wanted = LeaseRecord(name, self._holder, LeaseAction.ACQUIRE, ttl_ms)
        handle = LeaseHandle(self._log, self.fold, wanted)
        self._handle_by_name[name] = handle
        self._kernel.spawn(f'lease-{name}', partial(self._keep, handle))
        return handle

    def _keep(self, handle: LeaseHandle) -> None:
        pause_s = handle.ttl_s / RENEWALS_PER_TTL
        # Hosts that start together do not claim together.
        self._kernel.stopping.wait(random.uniform(0, pause_s))
        while not (handle.given_up.is_set() or self._kernel.stopping.is_set()):
            handle.step()
            handle.given_up.wait(pause_s)
