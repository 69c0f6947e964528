"""Snapshot records on the log, and messages between peers."""

import msgspec


class SnapshotChunk(msgspec.Struct, frozen=True):
    """A piece of a compressed dump; all pieces bear the same id.

    A snapshot to adopt replaces the state of every daemon that folds its
    last chunk; any other is for daemons that start or lag.
    """

    snapshot_id: str
    base_offset: int
    index: int
    count: int
    digest: str
    content: bytes
    is_to_adopt: bool = False


class Fetch(msgspec.Struct, frozen=True):
    """Ask a peer for its state of a stream."""

    stream: str


class SnapshotStatus(msgspec.Struct, frozen=True):
    """Base offsets of the newest snapshot that was read, by stream."""

    base_by_stream: dict[str, int]
