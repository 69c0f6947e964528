"""Constants of the peers component."""

from typing import Final

COMPONENT: Final = 'peers'

HELLO_TOPIC: Final = 'peers.hello'
HEARTBEAT_TOPIC: Final = 'peers.heartbeat'
LEAVING_TOPIC: Final = 'peers.leaving'

HEARTBEAT_INTERVAL_S: Final = 0.5
# A link without a received frame, or with a blocked send, for this long is
# considered silent.
LINK_TIMEOUT_S: Final = 2.0
LEAVING_INTERVAL_S: Final = 0.5
MIN_BACKOFF_S: Final = 0.25
MAX_BACKOFF_S: Final = 4.0
DIAL_TIMEOUT_S: Final = 1.0
HOST_SCAN_INTERVAL_S: Final = 0.25
MAX_OUTBOX_FRAMES: Final = 2048
NONCE_BYTES: Final = 16
