"""Fold the bill stream into totals; the first copy of a bill counts."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

import msgspec

from marigoldhoist.components.billing.const import BILL_KIND
from marigoldhoist.components.billing.models import (
    Bill,
    BillReport,
    BillTotal,
)
from marigoldhoist.components.platform_log.const import BILL_STREAM
from marigoldhoist.components.platform_log.models import LogEntry, ReadReply


@dataclasses.dataclass(slots=True)
class Sum:
    """What was billed so far."""

    bills: int = 0
    cut: int = 0
    tokens: int = 0
    cost: float = 0

    def add(self, bill: Bill) -> None:
        """Count one bill."""
        self.bills += 1
        self.cut += int(not bill.is_whole)
        self.tokens += bill.tokens
        self.cost += bill.cost


class BillAggregator:
    """Totals by workspace and version."""

    def __init__(self) -> None:
        self.second_copies = 0
        self._seen_ids: set[str] = set()
        self._sum_by_pair: dict[tuple[str, str], Sum] = {}

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry of the bill stream."""
        if entry.record.kind != BILL_KIND:
            return
        if entry.record.id in self._seen_ids:
            self.second_copies += 1
            return
        self._seen_ids.add(entry.record.id)
        bill = msgspec.json.decode(entry.record.body, type=Bill)
        pair = (bill.workspace, bill.serving)
        self._sum_by_pair.setdefault(pair, Sum()).add(bill)

    def totals(self) -> tuple[BillTotal, ...]:
        """Return the totals in the order of their names."""
        return tuple(
            BillTotal(
                workspace, serving, one.bills, one.cut, one.tokens, one.cost
            )
            for (workspace, serving), one in sorted(self._sum_by_pair.items())
        )


class BillReader(Protocol):
    """Whoever reads streams of the log."""

    def read(self, stream: str, offset: int, wait_s: float = 0) -> ReadReply:
        """Read entries from offset on."""


def read_report(reader: BillReader) -> BillReport:
    """Fold all bills that the log keeps; LogUnavailableError if it is down."""
    fold = BillAggregator()
    reply = reader.read(BILL_STREAM, 0)
    first_offset = reply.first_offset
    position = first_offset
    if not reply.entries or reply.entries[0].offset != first_offset:
        reply = reader.read(BILL_STREAM, first_offset)
    while reply.entries:
        position = _fold_all(fold, reply.entries)
        reply = reader.read(BILL_STREAM, position)
    return BillReport(first_offset, position, fold.second_copies, fold.totals())


def _fold_all(fold: BillAggregator, entries: Iterable[LogEntry]) -> int:
    position = 0
    for entry in entries:
        fold.apply(entry)
        position = entry.offset + 1
    return position
