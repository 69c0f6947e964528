"""Aggregate the bill stream into totals, ignoring duplicate bills."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from marigoldhoist.components.billing.const import BILL_KIND
from marigoldhoist.components.billing.models import (
    Bill,
    BillReport,
    BillTotal,
)
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.platform_log.models import LogEntry, ReadReply
from marigoldhoist.core.decoding import decode_json


@dataclasses.dataclass(slots=True)
class RunningTotal:
    """Running total of bills."""

    bill_count: int = 0
    truncated_count: int = 0
    tokens: int = 0
    cost: float = 0

    def add(self, bill: Bill) -> None:
        """Add one bill."""
        self.bill_count += 1
        self.truncated_count += int(not bill.is_whole)
        self.tokens += bill.tokens
        self.cost += bill.cost


class BillAggregator:
    """Sums up bills by workspace and by model version or plain service."""

    def __init__(self) -> None:
        self.duplicate_count = 0
        self._seen_ids: set[str] = set()
        self._total_by_key: dict[tuple[str, str], RunningTotal] = {}

    def apply(self, entry: LogEntry) -> None:
        """Apply one entry of the bill stream."""
        if entry.record.kind != BILL_KIND:
            return
        if entry.record.id in self._seen_ids:
            self.duplicate_count += 1
            return
        self._seen_ids.add(entry.record.id)
        bill = decode_json(entry.record.body, Bill)
        key = (bill.workspace, bill.serving)
        self._total_by_key.setdefault(key, RunningTotal()).add(bill)

    def totals(self) -> tuple[BillTotal, ...]:
        """Return the totals, sorted by workspace and then by `serving`."""
        return tuple(
            BillTotal(
                workspace,
                serving,
                total.bill_count,
                total.truncated_count,
                total.tokens,
                total.cost,
            )
            for (workspace, serving), total in sorted(
                self._total_by_key.items()
            )
        )


class LogReader(Protocol):
    """Interface of the log client that the report uses."""

    def read(self, stream: str, offset: int, wait_s: float = 0) -> ReadReply:
        """Read the entries from an offset on."""


def read_report(reader: LogReader) -> BillReport:
    """Aggregate all bills that the log retains.

    Raises LogUnavailableError if the log cannot be reached.
    """
    aggregator = BillAggregator()
    reply = reader.read(BILL_STREAM, 0)
    first_offset = reply.first_offset
    position = first_offset
    if not reply.entries or reply.entries[0].offset != first_offset:
        reply = reader.read(BILL_STREAM, first_offset)
    while reply.entries:
        position = _apply_all(aggregator, reply.entries)
        reply = reader.read(BILL_STREAM, position)
    return BillReport(
        first_offset, position, aggregator.duplicate_count, aggregator.totals()
    )


def _apply_all(aggregator: BillAggregator, entries: Iterable[LogEntry]) -> int:
    position = 0
    for entry in entries:
        aggregator.apply(entry)
        position = entry.offset + 1
    return position
