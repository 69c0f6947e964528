"""Constants of the relay component."""

from typing import Final

COMPONENT: Final = 'relay'

POSITIONS_TOPIC: Final = 'relay.positions'
FETCH_TOPIC: Final = 'relay.fetch'

ANNOUNCE_INTERVAL_S: Final = 0.2
FETCH_TIMEOUT_S: Final = 1.0
MAX_FETCH_ENTRIES: Final = 256
