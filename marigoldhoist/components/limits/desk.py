"""The limits in force at one daemon, by the row that sets them."""

import dataclasses
import uuid
from collections.abc import Callable, Iterator

from marigoldhoist.components.limits.const import ASK_AHEAD_S
from marigoldhoist.components.limits.limiter import Limiter
from marigoldhoist.components.limits.models import LoanSent, Wants
from marigoldhoist.components.limits.shares import Loan, ShareBook
from marigoldhoist.components.table.const import MODEL, WORKSPACE
from marigoldhoist.components.table.models import LimitColumns
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.clock import Clock
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.exchange import CallerRequest

NO_LIMITS = LimitColumns()


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """One row's limits, with what this daemon counts and may use."""

    limiter: Limiter
    book: ShareBook


class LimitDesk:
    """Admits, lends and borrows; the clock is given."""

    def __init__(self, clock: Clock, count_daemons: Callable[[], int]) -> None:
        self._clock = clock
        self._count_daemons = count_daemons
        self._held_by_key: dict[str, Held] = {}

    def admit(self, request: CallerRequest, state: TableState) -> float | None:
        """Count a request in, or return the seconds it has to wait."""
        admitted: list[str] = []
        for key, limits in limits_of(request, state):
            wait_s = self._held(key).limiter.admit(
                limits, self.share(key), self._clock.monotonic_s()
            )
            if wait_s is not None:
                self._give_back(admitted, state)
                return wait_s
            admitted.append(key)
        return None

    def settle(
        self,
        request: CallerRequest,
        state: TableState,
        usage: tuple[int, float],
    ) -> None:
        """Count an admitted request out."""
        for key, limits in limits_of(request, state):
            self._settle(key, limits, usage)

    def share(self, key: str) -> float:
        """Return the part of a row's limits that this daemon may use."""
        return self._held(key).book.share(self._count_daemons(), self._wall_s)

    def shares(self) -> dict[str, float]:
        """Return the share of every row met so far."""
        return {key: self.share(key) for key in tuple(self._held_by_key)}

    def wants(self, state: TableState) -> Wants:
        """Return what this daemon would use beyond its shares."""
        missing_by_key = {
            key: self._demand(key, state) - self._share_soon(key)
            for key in tuple(self._held_by_key)
        }
        return Wants(
            {key: part for key, part in missing_by_key.items() if part > 0}
        )

    def lend(self, wants: Wants, state: TableState) -> Iterator[LoanSent]:
        """Yield loans for what a peer wants, of what is not used here."""
        for key, wanted in wants.amount_by_key.items():
            loan = self._held(key).book.lend(
                wanted,
                self._demand(key, state),
                self._count_daemons(),
                self._wall_s,
            )
            if loan is not None:
                yield LoanSent(
                    uuid.uuid4().hex, key, loan.amount, loan.expires_s
                )

    def borrow(self, sent: LoanSent) -> None:
        """Take a peer's loan."""
        loan = Loan(sent.amount, sent.expires_s)
        self._held(sent.key).book.borrow(sent.loan_id, loan, self._wall_s)

    @property
    def _wall_s(self) -> float:
        return self._clock.now_ms() / MS_PER_S

    def _held(self, key: str) -> Held:
        held = self._held_by_key.get(key)
        if held is not None:
            return held
        created = Held(
            Limiter(self._clock.monotonic_s()), ShareBook(self._wall_s)
        )
        return self._held_by_key.setdefault(key, created)

    def _share_soon(self, key: str) -> float:
        """Return what is left of the share when the next loans can come."""
        soon_s = self._wall_s + ASK_AHEAD_S
        own = self._held(key).book.share(self._count_daemons(), soon_s)
        return min(own, self.share(key))

    def _demand(self, key: str, state: TableState) -> float:
        limits = row_limits(key, state)
        now_s = self._clock.monotonic_s()
        return self._held(key).limiter.demand(limits, now_s)

    def _give_back(self, keys: list[str], state: TableState) -> None:
        for key in keys:
            self._settle(key, row_limits(key, state), (0, 0))

    def _settle(
        self, key: str, limits: LimitColumns, usage: tuple[int, float]
    ) -> None:
        now_s = self._clock.monotonic_s()
        self._held(key).limiter.settle(limits, self.share(key), now_s, usage)


def limits_of(
    request: CallerRequest, state: TableState
) -> Iterator[tuple[str, LimitColumns]]:
    """Yield the rows that limit a request, and their limits."""
    for kind, name in (WORKSPACE, request.workspace), (MODEL, request.target):
        key = f'{kind}/{name}'
        yield key, row_limits(key, state)


def row_limits(key: str, state: TableState) -> LimitColumns:
    """Return the limits of a workspace's or a model's row."""
    kind, _, name = key.partition('/')
    row = state.workspace(name) if kind == WORKSPACE else state.model(name)
    return NO_LIMITS if row is None else row.limits
