"""Quotas that divide one limit between daemons, without a call per request.

Every daemon owns an equal quota of the limit and lends the unused part of it
to peers on request. A loan expires at a wall time a few seconds later. The
lender does not use the amount until the loan has expired on every clock, that
is, until the maximum clock skew has passed as well. Nobody uses the amount of
a lost loan during that time, and a loan that arrives after its expiry is
ignored.

So the shares in use never sum to more than the limit while the daemons agree
on their number, and a partitioned daemon recovers its own quota when its loans
have expired. Amounts are fractions of the limit.
"""

import dataclasses

from marigoldhoist.components.limits.const import (
    LOAN_DURATION_S,
    MAX_CLOCK_SKEW_S,
    MIN_LOAN_QUOTA_FRACTION,
    RETAINED_QUOTA_FRACTION,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Loan:
    """A fraction of the limit that the borrower may use until it expires.

    `expires_s` is a wall time in seconds since the Unix epoch.
    """

    amount: float
    expires_s: float


class QuotaLedger:
    """One daemon's quota of one limit, and its loans in both directions."""

    def __init__(self, now_s: float) -> None:
        # Peers may still use loans granted before a restart of this daemon.
        self._predecessor_loans_end_s = (
            now_s + LOAN_DURATION_S + MAX_CLOCK_SKEW_S
        )
        self._lent: list[Loan] = []
        self._borrowed_by_id: dict[str, Loan] = {}

    def share(self, daemon_count: int, now_s: float) -> float:
        """Return the fraction of the limit that this daemon may use now."""
        quota = 1 / daemon_count
        if now_s < self._predecessor_loans_end_s:
            return quota * RETAINED_QUOTA_FRACTION + self._borrowed(now_s)
        lent = sum(
            loan.amount
            for loan in self._lent
            if now_s < loan.expires_s + MAX_CLOCK_SKEW_S
        )
        own = max(quota * RETAINED_QUOTA_FRACTION, quota - lent)
        return own + self._borrowed(now_s)

    def lend(
        self,
        requested: float,
        own_demand: float,
        daemon_count: int,
        now_s: float,
    ) -> Loan | None:
        """Lend unused quota; None if the amount would be too small."""
        self._drop_expired(now_s)
        if now_s < self._predecessor_loans_end_s:
            return None
        quota = 1 / daemon_count
        lent = sum(loan.amount for loan in self._lent)
        kept = max(quota * RETAINED_QUOTA_FRACTION, own_demand)
        amount = min(requested, quota - lent - kept)
        if amount < MIN_LOAN_QUOTA_FRACTION * quota:
            return None
        loan = Loan(amount, now_s + LOAN_DURATION_S)
        self._lent.append(loan)
        return loan

    def borrow(self, loan_id: str, loan: Loan, now_s: float) -> None:
        """Add a loan; an expired or duplicate one has no effect."""
        self._drop_expired(now_s)
        if now_s < loan.expires_s:
            self._borrowed_by_id[loan_id] = loan

    def _borrowed(self, now_s: float) -> float:
        return sum(
            loan.amount
            for loan in self._borrowed_by_id.values()
            if now_s < loan.expires_s
        )

    def _drop_expired(self, now_s: float) -> None:
        self._lent = [
            loan
            for loan in self._lent
            if now_s < loan.expires_s + MAX_CLOCK_SKEW_S
        ]
        self._borrowed_by_id = {
            loan_id: loan
            for loan_id, loan in self._borrowed_by_id.items()
            if now_s < loan.expires_s
        }
