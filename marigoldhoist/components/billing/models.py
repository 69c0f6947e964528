"""Bills, as they are written to the log."""

import hashlib

import msgspec


class Bill(msgspec.Struct, frozen=True):
    """What one request is charged.

    Tokens are those delivered to the caller, whatever the cascade tried;
    cost is in the table's unit.
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
        """Return the record id, the same for every copy of the bill."""
        return bill_record_id(self.workspace, self.request_id)


def bill_record_id(workspace: str, request_id: str) -> str:
    """Return the record id of a request's only bill."""
    name = f'{workspace}\0{request_id}'.encode()
    return f'bill-{hashlib.sha256(name).hexdigest()[:32]}'


class BillBatch(msgspec.Struct, frozen=True):
    """Bills on their way to a peer."""

    bills: tuple[Bill, ...]


class ConfirmedBills(msgspec.Struct, frozen=True):
    """Record ids of bills that are on the log, so that copies may go."""

    record_ids: tuple[str, ...]


class BillingStatus(msgspec.Struct, frozen=True):
    """Bills that are not on the log yet, and copies of others' bills."""

    unshipped: int
    held_copies: int


class BillTotal(msgspec.Struct, frozen=True):
    """What a workspace was billed for one version or plain service."""

    workspace: str
    serving: str
    bills: int
    cut: int
    tokens: int
    cost: float


class BillReport(msgspec.Struct, frozen=True):
    """Totals of the bills that the log keeps, from an offset on."""

    first_offset: int
    next_offset: int
    second_copies: int
    totals: tuple[BillTotal, ...]
