"""Divide one limit between daemons without a call for each request.

Every daemon owns an equal quota of the limit. It lends what it does not use
to peers that ask, for a few seconds by the wall clock, and does without it
until the loan has ended on every clock. A lost loan is used by nobody for
that time; a late one is not taken. So the shares in use never sum to more
than the limit while the daemons agree on how many they are, and a daemon that
is cut off has its own quota back when its loans have ended. Amounts are parts
of the limit.
"""

import dataclasses

from marigoldhoist.components.limits.const import (
    KEPT_PART,
    LOAN_S,
    MAX_SKEW_S,
    SMALLEST_LOAN,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """A part of the limit that the borrower may use until a wall time."""

    amount: float
    expires_s: float


class ShareBook:
    """One daemon's quota of one limit, what it lent and what it borrowed."""

    def __init__(self, now_s: float) -> None:
        # Loans of this daemon's predecessor may still be in use.
        self._owned_from_s = now_s + LOAN_S + MAX_SKEW_S
        self._lent: list[Loan] = []
        self._borrowed_by_id: dict[str, Loan] = {}

    def share(self, daemons: int, now_s: float) -> float:
        """Return the part of the limit that this daemon may use now."""
        quota = 1 / daemons
        if now_s < self._owned_from_s:
            return quota * KEPT_PART + self._borrowed(now_s)
        lent = sum(
            loan.amount
            for loan in self._lent
            if now_s < loan.expires_s + MAX_SKEW_S
        )
        own = max(quota * KEPT_PART, quota - lent)
        return own + self._borrowed(now_s)

    def lend(
        self, wanted: float, own_demand: float, daemons: int, now_s: float
    ) -> Loan | None:
        """Lend what this daemon does not use, none where that is little."""
        self._forget(now_s)
        if now_s < self._owned_from_s:
            return None
        quota = 1 / daemons
        lent = sum(loan.amount for loan in self._lent)
        kept = max(quota * KEPT_PART, own_demand)
        amount = min(wanted, quota - lent - kept)
        if amount < SMALLEST_LOAN * quota:
            return None
        loan = Loan(amount, now_s + LOAN_S)
        self._lent.append(loan)
        return loan

    def borrow(self, loan_id: str, loan: Loan, now_s: float) -> None:
        """Take a loan; one that came late or twice changes nothing."""
        self._forget(now_s)
        if now_s < loan.expires_s:
            self._borrowed_by_id[loan_id] = loan

    def _borrowed(self, now_s: float) -> float:
        return sum(
            loan.amount
            for loan in self._borrowed_by_id.values()
            if now_s < loan.expires_s
        )

    def _forget(self, now_s: float) -> None:
        self._lent = [
            loan for loan in self._lent if now_s < loan.expires_s + MAX_SKEW_S
        ]
        self._borrowed_by_id = {
            loan_id: loan
            for loan_id, loan in self._borrowed_by_id.items()
            if now_s < loan.expires_s
        }
