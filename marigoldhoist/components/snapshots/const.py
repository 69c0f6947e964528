"""Constants of the snapshots component."""

from typing import Final

COMPONENT: Final = 'snapshots'

CHUNK_KIND: Final = 'snapshot.chunk'
# Empty records that only advance the log's offset.
FILLER_KIND: Final = 'snapshot.filler'
FETCH_TOPIC: Final = 'snapshots.fetch'

CHUNK_BYTES: Final = 131_072
FILLERS_PER_APPEND: Final = 500
LEASE_TTL_S: Final = 15.0
# How often each stream is checked for a due snapshot or a lost tail.
CHECK_INTERVAL_S: Final = 0.5
APPEND_TIMEOUT_S: Final = 10.0
FETCH_TIMEOUT_S: Final = 5.0
