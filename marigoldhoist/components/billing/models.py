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


class BillingStatus(msgspec.Struct, frozen=True):
    """Bills that are not on the log yet."""

    unshipped: int
