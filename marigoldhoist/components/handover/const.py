"""Constants of the handover component."""

from typing import Final

COMPONENT: Final = 'handover'

# Daemons that one call is handed to in turn.
MAX_PEERS_PER_CALL: Final = 5
# A daemon that reached no replica of a service, or was not reached itself, gets
# no calls to the service for this long.
AVOIDANCE_S: Final = 1.0
