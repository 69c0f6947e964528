"""Split a dump into log records, and assemble dumps from such records."""

import dataclasses
import zlib

import msgspec
import xxhash

from marigoldhoist.components.platform_log.models import (
    FeedDump,
    LogEntry,
    Record,
    new_record,
)
from marigoldhoist.components.snapshots.const import CHUNK_BYTES, CHUNK_KIND
from marigoldhoist.components.snapshots.events import SNAPSHOT_GARBLED
from marigoldhoist.components.snapshots.models import SnapshotChunk
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.events import emit


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A dump that was assembled from its chunks."""

    dump: FeedDump
    is_to_adopt: bool


def compress_dump(dump: FeedDump) -> bytes:
    """Encode a dump as JSON and compress it."""
    return zlib.compress(msgspec.json.encode(dump))


def decompress_dump(content: bytes) -> FeedDump:
    """Decode the output of `compress_dump`.

    Raises zlib.error or msgspec.MsgspecError if the content is corrupt.
    """
    return decode_json(zlib.decompress(content), FeedDump)


def split_dump(
    dump: FeedDump, *, is_to_adopt: bool = False, chunk_bytes: int = CHUNK_BYTES
) -> tuple[Record, ...]:
    """Split a dump into records, each with at most `chunk_bytes`.

    The record ids are derived from the content, so that two daemons that
    write the same state write the same records.
    """
    content = compress_dump(dump)
    digest = xxhash.xxh3_128_hexdigest(content)
    starts = range(0, len(content), chunk_bytes)
    prefix = 'adopt' if is_to_adopt else 'snapshot'
    snapshot_id = f'{prefix}-{dump.offset}-{len(starts)}-{digest}'
    return tuple(
        new_record(
            CHUNK_KIND,
            SnapshotChunk(
                snapshot_id,
                dump.offset,
                index,
                len(starts),
                digest,
                content[start : start + chunk_bytes],
                is_to_adopt,
            ),
            f'{snapshot_id}-{index}',
        )
        for index, start in enumerate(starts)
    )


class ChunkAssembler:
    """Assembles snapshots from chunks that arrive in any order."""

    def __init__(self) -> None:
        self._chunks_by_id: dict[str, dict[int, SnapshotChunk]] = {}

    def add(self, entry: LogEntry) -> Snapshot | None:
        """Add an entry and return the snapshot that it completes, if any.

        Entries that are not chunks are ignored; a corrupt snapshot is dropped.
        """
        if entry.record.kind != CHUNK_KIND:
            return None
        chunk = decode_json(entry.record.body, SnapshotChunk)
        chunks = self._chunks_by_id.setdefault(chunk.snapshot_id, {})
        chunks[chunk.index] = chunk
        if len(chunks) < chunk.count:
            return None
        self._chunks_by_id.pop(chunk.snapshot_id)
        content = b''.join(chunks[index].content for index in sorted(chunks))
        return _verified_snapshot(chunk, content)

    def discard_before(self, base_offset: int) -> None:
        """Drop the chunks of snapshots with an older base offset."""
        self._chunks_by_id = {
            snapshot_id: chunks
            for snapshot_id, chunks in self._chunks_by_id.items()
            if next(iter(chunks.values())).base_offset >= base_offset
        }


def _verified_snapshot(chunk: SnapshotChunk, content: bytes) -> Snapshot | None:
    if xxhash.xxh3_128_hexdigest(content) != chunk.digest:
        emit(SNAPSHOT_GARBLED, snapshot=chunk.snapshot_id)
        return None
    try:
        dump = decompress_dump(content)
    except (zlib.error, msgspec.MsgspecError) as error:
        emit(SNAPSHOT_GARBLED, snapshot=chunk.snapshot_id, error=str(error))
        return None
    return Snapshot(dump, chunk.is_to_adopt)
