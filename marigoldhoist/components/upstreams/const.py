"""Constants of the upstreams component."""

from typing import Final

COMPONENT: Final = 'upstreams'

READ_CHUNK_BYTES: Final = 16_384
MAX_POOLS: Final = 512
CONNECTIONS_PER_REPLICA: Final = 64

EVENT_STREAM_TYPE: Final = 'text/event-stream'
DEFAULT_SLOTS: Final = 8
