"""Store of the bills that are not on the log yet."""

import itertools
import threading
from collections.abc import Iterable

from marigoldhoist.components.billing.models import Bill


class PendingBills:
    """Bills by record id, in order of arrival."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._bill_by_record_id: dict[str, Bill] = {}

    def __len__(self) -> int:
        """Return the number of pending bills."""
        return len(self._bill_by_record_id)

    def add(self, bill: Bill) -> bool:
        """Add a bill; return False if the request already has one."""
        with self._lock:
            first = self._bill_by_record_id.setdefault(bill.record_id, bill)
        return first is bill

    def batch(self, limit: int) -> tuple[Bill, ...]:
        """Return the oldest bills, at most as many as the limit."""
        with self._lock:
            return tuple(
                itertools.islice(self._bill_by_record_id.values(), limit)
            )

    def remove(self, record_ids: Iterable[str]) -> None:
        """Remove bills by their record ids."""
        with self._lock:
            for record_id in record_ids:
                self._bill_by_record_id.pop(record_id, None)
