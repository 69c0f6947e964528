"""Keep bills until the log has them."""

import itertools
import threading

from result import Ok

from marigoldhoist.components.billing.const import (
    BILL_KIND,
    SHIP_BATCH,
    SHIP_INTERVAL_S,
    SHIP_TIMEOUT_S,
)
from marigoldhoist.components.billing.models import Bill, BillingStatus
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.platform_log.const import COMPONENT as LOG
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.platform_log.service import LogService
from marigoldhoist.core.kernel import BaseService, Kernel


class BillingService(BaseService):
    """Collects bills and appends them in batches."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._log = kernel.find(LOG, LogService)
        self._lock = threading.Lock()
        self._bill_by_record_id: dict[str, Bill] = {}

    @property
    def unshipped(self) -> int:
        """Return how many bills are not on the log yet."""
        return len(self._bill_by_record_id)

    def start(self) -> None:
        """Begin to ship bills."""
        self._kernel.spawn('bills', self._ship_all)

    def drain(self) -> None:
        """Ship what is left."""
        is_shipping = True
        while self.unshipped and is_shipping:
            is_shipping = self.ship()

    def status(self) -> BillingStatus:
        """Return what operators see of the bills."""
        return BillingStatus(self.unshipped)

    def charge(self, bill: Bill) -> None:
        """Take a bill; a second one for the request is ignored."""
        with self._lock:
            self._bill_by_record_id.setdefault(bill.record_id, bill)

    def ship(self) -> bool:
        """Append one batch; False where the log did not confirm it."""
        with self._lock:
            batch = tuple(
                itertools.islice(self._bill_by_record_id.values(), SHIP_BATCH)
            )
        if not batch:
            return True
        records = tuple(
            new_record(BILL_KIND, bill, bill.record_id) for bill in batch
        )
        appended = self._log.append(BILL_STREAM, records, SHIP_TIMEOUT_S)
        if not isinstance(appended, Ok):
            return False
        self._forget(batch)
        return True

    def _forget(self, batch: tuple[Bill, ...]) -> None:
        with self._lock:
            for bill in batch:
                self._bill_by_record_id.pop(bill.record_id, None)

    def _ship_all(self) -> None:
        while not self._kernel.stopping.wait(SHIP_INTERVAL_S):
            self.ship()
