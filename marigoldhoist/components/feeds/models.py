"""Records of the store and the interfaces to read and append them."""

import dataclasses
import enum
from typing import Protocol


class Topic(enum.Enum):
    """The topics of the store that the gateway reads."""

    OPERATOR = 'operator'
    REPLICAS = 'replicas'
    STATUS = 'status'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic; a record without a value is a tombstone."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records in offset order and `end`, the next offset to read."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """The answer of a source to one read.

    `age_s` is the time in seconds since the store confirmed the records. If
    `is_whole`, the records are the newest of all keys. If `is_relayed`, the
    source is a peer that got the records from another peer, not from the
    store.
    """

    batch: Batch
    age_s: float
    is_whole: bool
    is_relayed: bool = False


class Source(Protocol):
    """A source that a feed can read from; its kind is `store` or `peer`."""

    name: str
    kind: str

    async def read(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> ReadResult:
        """Return the records starting at an offset, or all for None.

        Raises StoreUnavailableError without an answer and HistoryLostError if
        the records starting at the offset are no longer retained.
        """


class Store(Protocol):
    """The platform's store of topics, an append-only log of each.

    Every call raises StoreUnavailableError if its outcome is unknown.
    """

    async def newest(self, topic: Topic) -> Batch:
        """Return the newest record of each key."""

    async def read(self, topic: Topic, offset: int, wait_s: float) -> Batch:
        """Return the records starting at an offset, as a long poll.

        Waits up to `wait_s` for a record. Raises HistoryLostError if the
        records starting at the offset are no longer retained.
        """

    async def append(
        self, topic: Topic, key: str, value: bytes, expected_end: int
    ) -> None:
        """Append a record if the topic ends at `expected_end`.

        Raises ConditionFailedError if it ends at another offset.
        """

    def close(self) -> None:
        """Close all connections."""
