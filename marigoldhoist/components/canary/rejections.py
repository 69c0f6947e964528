"""Remember which versions of a service were rejected, beyond their orders.

The store has the state of the newest order alone, and a roll-out is replaced by
the next one, while the replicas of a rejected version may outlast both. A
rejection holds until the version is ordered once more.
"""

import dataclasses
import enum
import itertools
from collections.abc import Iterator
from typing import Final, TypeAlias

from marigoldhoist.components.canary.events import (
    REJECTION_LIFTED,
    VERSION_REJECTED,
)
from marigoldhoist.components.canary.models import (
    OrderMark,
    RollOutOrder,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.core.events import emit

# Limit for all services together; the rejections of the oldest orders go first.
MAX_REMEMBERED_REJECTIONS: Final = 1024

# A service and one of its versions.
_Key: TypeAlias = tuple[str, str]


class Standing(enum.IntEnum):
    """What became of a version under one order; later ones are greater.

    A daemon may find a version bad while another one completes it: the old
    replicas stop then, and it has to serve.
    """

    ORDERED_AGAIN = 0
    REJECTED = 1
    COMPLETED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """A version that was rejected, and its standing by its newest order."""

    service: str
    version: str
    order_mark: OrderMark
    standing: Standing = Standing.REJECTED

    @property
    def is_in_force(self) -> bool:
        """Return whether the version gets no requests."""
        return self.standing is Standing.REJECTED

    def identity_fields(self) -> dict[str, object]:
        """Return the fields of log lines that name the rejection."""
        return {
            'service': self.service,
            'version': self.version,
            'standing': self.standing.name.lower(),
        }

    def replaces(self, known: 'Rejection') -> bool:
        """Return whether it is newer than the known one."""
        return (self.order_mark, self.standing) > (
            known.order_mark,
            known.standing,
        )


@dataclasses.dataclass(slots=True)
class _Entry:
    """A rejection, and the era in which the store is known to have it."""

    rejection: Rejection
    is_stored: bool = False
    stored_era: int | None = None

    def is_stored_in(self, era: int | None) -> bool:
        """Return whether the store has the rejection in an era."""
        return self.is_stored and self.stored_era == era


class RejectedVersions:
    """The rejections that this daemon knows, its own and stored ones."""

    def __init__(self) -> None:
        self._entry_by_key: dict[_Key, _Entry] = {}
        self._replaced_order_by_service: dict[str, RollOutOrder] = {}

    def of_service(self, service: str) -> set[str]:
        """Return the rejected versions of a service."""
        return {
            entry.rejection.version
            for entry in self._entry_by_key.values()
            if entry.rejection.service == service
            and entry.rejection.is_in_force
        }

    def covers(self, order: RollOutOrder) -> bool:
        """Return whether the target was rejected under this order or later."""
        entry = self._entry_by_key.get((order.service, order.target))
        return (
            entry is not None
            and entry.rejection.is_in_force
            and entry.rejection.order_mark >= order.mark
        )

    def reject(self, order: RollOutOrder) -> None:
        """Record that the target of an order is rejected."""
        rejection = Rejection(order.service, order.target, order.mark)
        self._put(rejection, source='roll-out')

    def note_replaced(self, order: RollOutOrder) -> None:
        """Remember an order whose state may be read after the next one."""
        self._replaced_order_by_service[order.service] = order

    def read_earlier(self, status: RollOutStatus) -> None:
        """Take the standing of a replaced order's target from its state."""
        replaced = self._replaced_order_by_service.get(status.service)
        if replaced is None or replaced.target != status.target:
            return
        if status.state is RollOutState.ROLLED_BACK:
            self.reject(replaced)
        elif status.state is RollOutState.COMPLETED:
            self.lift(replaced, Standing.COMPLETED)

    def lift(self, order: RollOutOrder, standing: Standing) -> None:
        """Allow the target of an order that is newer, or that completed it."""
        entry = self._entry_by_key.get((order.service, order.target))
        if entry is None or not entry.rejection.is_in_force:
            return
        rejection = Rejection(order.service, order.target, order.mark, standing)
        self._put(rejection, source='roll-out')

    def read(self, stored: Rejection, era: int | None) -> None:
        """Take a rejection from the store, unless a newer one is known."""
        self._put(stored, source='store')
        entry = self._entry_by_key.get((stored.service, stored.version))
        if entry is not None and entry.rejection == stored:
            self.note_stored(stored, era)

    def note_stored(self, rejection: Rejection, era: int | None) -> None:
        """Record that the store has a rejection in an era."""
        entry = self._entry_by_key.get((rejection.service, rejection.version))
        if entry is not None and entry.rejection == rejection:
            entry.is_stored = True
            entry.stored_era = era

    def unstored(self, era: int | None) -> list[Rejection]:
        """Return the rejections that the store is not known to have."""
        return [
            entry.rejection
            for entry in self._entry_by_key.values()
            if not entry.is_stored_in(era)
        ]

    def _put(self, rejection: Rejection, source: str) -> None:
        key = (rejection.service, rejection.version)
        known = self._entry_by_key.get(key)
        if known is not None and not rejection.replaces(known.rejection):
            return
        self._entry_by_key[key] = _Entry(rejection)
        for oldest in tuple(self._surplus_keys()):
            self._entry_by_key.pop(oldest)
        emit(
            VERSION_REJECTED if rejection.is_in_force else REJECTION_LIFTED,
            service=rejection.service,
            version=rejection.version,
            standing=rejection.standing.name.lower(),
            order_era=rejection.order_mark.era,
            order_offset=rejection.order_mark.offset,
            source=source,
        )

    def _surplus_keys(self) -> Iterator[_Key]:
        surplus = len(self._entry_by_key) - MAX_REMEMBERED_REJECTIONS
        if surplus <= 0:
            return
        by_age = sorted(
            self._entry_by_key,
            key=lambda key: self._entry_by_key[key].rejection.order_mark,
        )
        yield from itertools.islice(by_age, surplus)
