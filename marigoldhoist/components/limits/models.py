"""Messages of the limits component."""

import msgspec


class Wants(msgspec.Struct, frozen=True):
    """The parts of limits that the sender would use beyond its share."""

    amount_by_key: dict[str, float]


class LoanSent(msgspec.Struct, frozen=True):
    """A part of a limit for the receiver until a wall time, in seconds."""

    loan_id: str
    key: str
    amount: float
    expires_s: float


class LimitStatus(msgspec.Struct, frozen=True):
    """This daemon's share of each limit in use."""

    share_by_key: dict[str, float]
