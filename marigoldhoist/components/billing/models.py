"""Bill records, peer messages and reports of the billing component."""

import hashlib

import msgspec


class Bill(msgspec.Struct, frozen=True):
    """Charge for one request.

    Only tokens delivered to the caller count, not those of other attempts of
    the cascade. The cost is in the unit of `cost_per_1k_tokens` in the table.
    """

    workspace: str
    request_id: str
    serving: str
    tokens: int
    cost: float
    is_whole: bool
    host: str

    @property
    def record_id(self) -> str:
        """Return the record id, equal for all bills of the same request."""
        return bill_record_id(self.workspace, self.request_id)


def bill_record_id(workspace: str, request_id: str) -> str:
    """Return the record id of the bill of a request."""
    name = f'{workspace}\0{request_id}'.encode()
    return f'bill-{hashlib.sha256(name).hexdigest()[:32]}'


class BillBatch(msgspec.Struct, frozen=True):
    """Message that copies or hands over bills to a peer."""

    bills: tuple[Bill, ...]


class ConfirmedBills(msgspec.Struct, frozen=True):
    """Record ids of bills on the log, of which copies can be removed."""

    record_ids: tuple[str, ...]


class BillingStatus(msgspec.Struct, frozen=True):
    """Status report: number of pending bills and of copies for peers."""

    unshipped: int
    held_copies: int


class BillTotal(msgspec.Struct, frozen=True):
    """Totals of a workspace for one model version or plain service.

    `cut` is the number of bills for responses that were cut short.
    """

    workspace: str
    serving: str
    bills: int
    cut: int
    tokens: int
    cost: float


class BillReport(msgspec.Struct, frozen=True):
    """Totals of the bills that the log retains.

    They cover the offsets from `first_offset` up to, but not including,
    `next_offset`. `second_copies` is the number of duplicates ignored.
    """

    first_offset: int
    next_offset: int
    second_copies: int
    totals: tuple[BillTotal, ...]
