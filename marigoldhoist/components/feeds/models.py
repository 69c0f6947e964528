"""What the store holds, and what the gateway asks of it."""

import dataclasses
import enum
from typing import Protocol


class Topic(enum.Enum):
    """The topics that the gateway reads."""

    OPERATOR = 'operator'
    REPLICAS = 'replicas'
    STATUS = 'status'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; without a value the key is gone."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records in offset order, and the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """What a source gave, and the age of the read that confirmed it.

    A peer that does not read the store itself, but has its news from yet
    another peer, relays it.
    """

    batch: Batch
    age_s: float
    is_whole: bool
    is_relayed: bool = False


class Source(Protocol):
    """Whom a feed may ask; the kind is the store or a peer."""

    name: str
    kind: str

    async def read(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> ReadResult:
        """Return the records from an offset, all for none.

        StoreUnavailableError where there is no answer, HistoryLostError
        where records from the offset on are no longer kept.
        """


class Store(Protocol):
    """The platform's store, as the product uses it.

    Every call raises StoreUnavailableError where its outcome is unknown.
    """

    async def newest(self, topic: Topic) -> Batch:
        """Return the newest record of each key."""

    async def read(self, topic: Topic, offset: int, wait_s: float) -> Batch:
        """Return the records from an offset, waiting until there is one.

        HistoryLostError where records from the offset on are no longer kept.
        """

    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int
    ) -> None:
        """Append a record where the topic ends at the offset.

        ConditionFailedError where it ends elsewhere.
        """

    def close(self) -> None:
        """Close every connection."""
