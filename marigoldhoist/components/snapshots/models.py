"""Snapshot records on the log and messages between peers."""

import msgspec


class SnapshotChunk(msgspec.Struct, frozen=True):
    """A part of a compressed dump; all its parts share the snapshot id.

    A snapshot with `is_to_adopt` replaces the state of every daemon that
    folds its last chunk. Any other is only restored by daemons that start or
    lag behind the log.
    """

    snapshot_id: str
    base_offset: int
    index: int
    count: int
    digest: str
    content: bytes
    is_to_adopt: bool = False


class FetchRequest(msgspec.Struct, frozen=True):
    """Request for a peer's state of a stream."""

    stream: str


class SnapshotStatus(msgspec.Struct, frozen=True):
    """Base offset of the newest snapshot that was read, by stream."""

    base_by_stream: dict[str, int]
