"""Constants of the peers component."""

from typing import Final

COMPONENT: Final = 'peers'

HELLO_TOPIC: Final = 'peers.hello'
HEARTBEAT_TOPIC: Final = 'peers.heartbeat'

HEARTBEAT_INTERVAL_S: Final = 0.5
LINK_DEADLINE_S: Final = 2.0
DIAL_PAUSE_S: Final = 0.5
DIAL_TIMEOUT_S: Final = 1.0
SCAN_INTERVAL_S: Final = 0.25
OUTBOX_FRAMES: Final = 2048
NONCE_BYTES: Final = 16
