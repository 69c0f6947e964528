"""Limits enforced by one daemon, keyed by the table row that sets them."""

import dataclasses
import uuid
from collections.abc import Callable, Iterator

from marigoldhoist.components.limits.const import LOAN_LOOKAHEAD_S
from marigoldhoist.components.limits.limiter import Limiter
from marigoldhoist.components.limits.models import LoanGrant, LoanRequest
from marigoldhoist.components.limits.quota_ledger import Loan, QuotaLedger
from marigoldhoist.components.table.const import MODEL, WORKSPACE
from marigoldhoist.components.table.models import LimitColumns
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.clock import Clock
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.exchange import CallerRequest

NO_LIMITS = LimitColumns()


@dataclasses.dataclass(frozen=True, slots=True)
class TrackedLimit:
    """Usage and quota of this daemon under the limits of one table row."""

    limiter: Limiter
    ledger: QuotaLedger


class LimitManager:
    """Admits requests under limits, and lends and borrows unused quota."""

    def __init__(self, clock: Clock, count_daemons: Callable[[], int]) -> None:
        self._clock = clock
        self._count_daemons = count_daemons
        self._tracked_by_key: dict[str, TrackedLimit] = {}

    def admit(self, request: CallerRequest, state: TableState) -> float | None:
        """Admit a request, or return the seconds until it may be retried."""
        admitted: list[str] = []
        for key, limits in request_limits(request, state):
            wait_s = self._tracked(key).limiter.admit(
                limits, self.share(key), self._clock.monotonic_s()
            )
            if wait_s is not None:
                self._cancel_admissions(admitted, state)
                return wait_s
            admitted.append(key)
        return None

    def settle(
        self,
        request: CallerRequest,
        state: TableState,
        usage: tuple[int, float],
    ) -> None:
        """Record the end of an admitted request.

        Usage is the number of tokens and the cost.
        """
        for key, limits in request_limits(request, state):
            self._settle(key, limits, usage)

    def share(self, key: str) -> float:
        """Return the fraction of a row's limits that this daemon may use."""
        return self._tracked(key).ledger.share(
            self._count_daemons(), self._wall_s
        )

    def shares(self) -> dict[str, float]:
        """Return the share of each tracked row, by row key."""
        return {key: self.share(key) for key in tuple(self._tracked_by_key)}

    def loan_request(self, state: TableState) -> LoanRequest:
        """Return the demand of this daemon beyond its shares."""
        shortfall_by_key = {
            key: self._demand(key, state) - self._projected_share(key)
            for key in tuple(self._tracked_by_key)
        }
        return LoanRequest(
            {
                key: missing
                for key, missing in shortfall_by_key.items()
                if missing > 0
            }
        )

    def lend(
        self, request: LoanRequest, state: TableState
    ) -> Iterator[LoanGrant]:
        """Yield loans of unused quota in reply to the request of a peer."""
        for key, requested in request.amount_by_key.items():
            loan = self._tracked(key).ledger.lend(
                requested,
                self._demand(key, state),
                self._count_daemons(),
                self._wall_s,
            )
            if loan is not None:
                yield LoanGrant(
                    uuid.uuid4().hex, key, loan.amount, loan.expires_s
                )

    def borrow(self, grant: LoanGrant) -> None:
        """Add a loan from a peer to the share of this daemon."""
        loan = Loan(grant.amount, grant.expires_s)
        self._tracked(grant.key).ledger.borrow(
            grant.loan_id, loan, self._wall_s
        )

    @property
    def _wall_s(self) -> float:
        return self._clock.now_ms() / MS_PER_S

    def _tracked(self, key: str) -> TrackedLimit:
        tracked = self._tracked_by_key.get(key)
        if tracked is not None:
            return tracked
        created = TrackedLimit(
            Limiter(self._clock.monotonic_s()), QuotaLedger(self._wall_s)
        )
        return self._tracked_by_key.setdefault(key, created)

    def _projected_share(self, key: str) -> float:
        """Return the share after the lookahead, or the current one if less.

        Borrowed loans that expire within the lookahead do not count, so that
        this daemon requests new loans before the current ones expire.
        """
        projected_s = self._wall_s + LOAN_LOOKAHEAD_S
        share = self._tracked(key).ledger.share(
            self._count_daemons(), projected_s
        )
        return min(share, self.share(key))

    def _demand(self, key: str, state: TableState) -> float:
        limits = row_limits(key, state)
        now_s = self._clock.monotonic_s()
        return self._tracked(key).limiter.demand(limits, now_s)

    def _cancel_admissions(self, keys: list[str], state: TableState) -> None:
        for key in keys:
            self._settle(key, row_limits(key, state), (0, 0))

    def _settle(
        self, key: str, limits: LimitColumns, usage: tuple[int, float]
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._tracked(key).limiter.settle(limits, self.share(key), now_s, usage)


def request_limits(
    request: CallerRequest, state: TableState
) -> Iterator[tuple[str, LimitColumns]]:
    """Yield the key and the limits of each row that limits a request."""
    for kind, name in (WORKSPACE, request.workspace), (MODEL, request.target):
        key = f'{kind}/{name}'
        yield key, row_limits(key, state)


def row_limits(key: str, state: TableState) -> LimitColumns:
    """Return the limits of a workspace or model row, by its key."""
    kind, _, name = key.partition('/')
    row = state.workspace(name) if kind == WORKSPACE else state.model(name)
    return NO_LIMITS if row is None else row.limits
