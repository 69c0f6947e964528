"""Constants of the upstreams component."""

from typing import Final

COMPONENT: Final = 'upstreams'

READ_CHUNK_BYTES: Final = 16_384
MAX_POOLS: Final = 512
CONNECTIONS_PER_REPLICA: Final = 64

DONE_EVENT: Final = b'data: [DONE]'
EVENT_PREFIX: Final = b'data: '

DEFAULT_SLOTS: Final = 8
