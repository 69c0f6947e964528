"""Constants of the mirrors component."""

from typing import Final

COMPONENT: Final = 'mirrors'

# Daemons of a failure domain that read the store; the others ask them.
READERS: Final = 1
# Daemons that are asked besides where readers and the store fail.
SPARE_PEERS: Final = 2

# The longest time that a peer holds a read back until there is news. A peer
# that stands still must be noticed well within the time for a change.
LONGEST_WAIT_S: Final = 0.5
CALL_TIMEOUT_S: Final = 0.35
# A peer that failed is not asked again for this long.
AVOID_S: Final = 2.0
# A daemon that nobody heard from for this long is forgotten.
FORGET_S: Final = 12.0
# Readers ask a daemon of any failure domain for its members this often.
GOSSIP_INTERVAL_S: Final = 2.0
