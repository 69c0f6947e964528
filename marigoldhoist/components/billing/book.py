"""Bills that are not on the log yet, each once."""

import itertools
import threading
from collections.abc import Iterable

from marigoldhoist.components.billing.models import Bill


class BillBook:
    """Bills by record id, in the order they came."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._bill_by_record_id: dict[str, Bill] = {}

    def __len__(self) -> int:
        """Return how many bills are kept."""
        return len(self._bill_by_record_id)

    def add(self, bill: Bill) -> bool:
        """Take a bill; False where the request has one already."""
        with self._lock:
            first = self._bill_by_record_id.setdefault(bill.record_id, bill)
        return first is bill

    def batch(self, limit: int) -> tuple[Bill, ...]:
        """Return the oldest bills."""
        with self._lock:
            return tuple(
                itertools.islice(self._bill_by_record_id.values(), limit)
            )

    def remove(self, record_ids: Iterable[str]) -> None:
        """Forget bills."""
        with self._lock:
            for record_id in record_ids:
                self._bill_by_record_id.pop(record_id, None)
