"""Peer messages and status report of the limits component."""

import msgspec


class LoanRequest(msgspec.Struct, frozen=True):
    """Request for loans: fractions of limits that the sender lacks."""

    amount_by_key: dict[str, float]


class LoanGrant(msgspec.Struct, frozen=True):
    """Loan of a fraction of a limit to the receiver.

    `expires_s` is a wall time in seconds since the Unix epoch.
    """

    loan_id: str
    key: str
    amount: float
    expires_s: float


class LimitStatus(msgspec.Struct, frozen=True):
    """Status report: this daemon's share of the limits of each row."""

    share_by_key: dict[str, float]
