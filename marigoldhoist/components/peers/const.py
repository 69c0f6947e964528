"""Constants of the peers component."""

from typing import Final

COMPONENT: Final = 'peers'

HELLO_TOPIC: Final = 'peers.hello'
HEARTBEAT_TOPIC: Final = 'peers.heartbeat'
LEAVING_TOPIC: Final = 'peers.leaving'

HEARTBEAT_INTERVAL_S: Final = 0.5
LINK_DEADLINE_S: Final = 2.0
FAREWELL_INTERVAL_S: Final = 0.5
SHORTEST_BACKOFF_S: Final = 0.25
LONGEST_BACKOFF_S: Final = 4.0
DIAL_TIMEOUT_S: Final = 1.0
SCAN_INTERVAL_S: Final = 0.25
OUTBOX_FRAMES: Final = 2048
NONCE_BYTES: Final = 16
