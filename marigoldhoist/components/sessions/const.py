"""Constants of the sessions component."""

from typing import Final

COMPONENT: Final = 'sessions'

PIN_KIND: Final = 'session.pin'
PINS_TOPIC: Final = 'sessions.pin'
FIND_TOPIC: Final = 'sessions.find'

HAND_OVER_TOPIC: Final = 'sessions.hand_over'

# Maximum number of peers that are queried for a pin.
MAX_QUERIED_PEERS: Final = 3
# Timeout of each query; peers are queried one after the other.
FIND_TIMEOUT_S: Final = 0.2
# Label that separates the token key from other uses of the peers' key.
TOKEN_KEY_LABEL: Final = b'session-token'
TOKEN_HEADER: Final = 'X-Session-Token'
