"""Constants of the upstreams component."""

from typing import Final

COMPONENT: Final = 'upstreams'

READ_CHUNK_BYTES: Final = 16_384
MAX_POOLS: Final = 512
CONNECTIONS_PER_REPLICA: Final = 64

LOAD_PATH: Final = '/load'
CANCEL_PATH: Final = '/cancel'
RESUMED_HEADER: Final = 'X-Resumed-From'
LEAVING_HEADER: Final = 'X-Leaving'
HTTP_UNAVAILABLE: Final = 503

EVENT_STREAM_TYPE: Final = 'text/event-stream'
DEFAULT_SLOTS: Final = 8
MAX_IN_FLIGHT_SAMPLES: Final = 128

POLL_INTERVAL_S: Final = 1.0
BYTES_PER_POLL: Final = 800
MAX_POLL_BYTES_PER_S: Final = 6000
POLL_TIMEOUT_S: Final = 0.5
POLL_AFTER_USE_S: Final = 60.0

BASE_EJECTION_S: Final = 1.0
MAX_EJECTION_S: Final = 30.0
MAX_EJECTED_SHARE: Final = 0.5
LEAVING_NOTICE_TTL_S: Final = 30.0
