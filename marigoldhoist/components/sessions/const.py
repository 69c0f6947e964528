"""Constants of the sessions component."""

from typing import Final

COMPONENT: Final = 'sessions'

PIN_KIND: Final = 'session.pin'
PINS_TOPIC: Final = 'sessions.pin'
FIND_TOPIC: Final = 'sessions.find'

HAND_OVER_TOPIC: Final = 'sessions.hand_over'

ASKED_PEERS: Final = 3
ASK_TIMEOUT_S: Final = 0.2
TOKEN_KEY_LABEL: Final = b'session-token'
TOKEN_HEADER: Final = 'X-Session-Token'
