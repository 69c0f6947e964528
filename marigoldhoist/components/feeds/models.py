"""Records of the store and the interfaces to read and append them."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol


class Topic(enum.Enum):
    """The topics of the store that the gateway uses."""

    OPERATOR = 'operator'
    REPLICAS = 'replicas'
    STATUS = 'status'
    QUARANTINE = 'quarantine'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic; a record without a value is a tombstone."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class NewRecord:
    """A record to append; the store gives it its offset."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """The next offset to read, valid only in the era of the source."""

    offset: int
    era: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records in offset order and `end`, the next offset to read.

    `era` is the era of the source in which the offsets are valid, None if the
    source reports none. If `is_truncated`, the source had more records from
    `end` on than fit into its answer.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    era: int | None = None
    is_truncated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResult:
    """The answer of a source to one read.

    `age_s` is the time in seconds since the store confirmed the records. If
    `is_whole`, the records are the newest of all keys. If `is_relayed`, the
    source is a peer that got the records from another peer, not from the
    store. If `is_settling`, the source is a peer that confirms no records
    because the era changed a short time ago.
    """

    batch: Batch
    age_s: float
    is_whole: bool
    is_relayed: bool = False
    is_settling: bool = False


class Source(Protocol):
    """A source that a feed can read from; its kind is `store` or `peer`.

    `max_wait_s` is the longest long poll that it grants.
    """

    name: str
    kind: str
    max_wait_s: float

    async def read(
        self, topic: Topic, position: Position | None, wait_s: float
    ) -> ReadResult:
        """Return the records from a position, or all for None.

        Raises StoreUnavailableError without an answer and HistoryLostError if
        the records from the position on are not retained. The records may be
        of another era than the position.
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
        records starting at the offset are not retained. The records may be of
        another era than the offset.
        """

    async def append(
        self,
        topic: Topic,
        records: Sequence[NewRecord],
        expected_end: Position,
    ) -> None:
        """Append all records or none if the topic ends at `expected_end`.

        Raises ConditionFailedError if it ends elsewhere, or if the store is
        known to be in another era.
        """

    def close(self) -> None:
        """Close all connections."""
