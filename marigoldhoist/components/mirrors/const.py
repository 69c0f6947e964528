"""Constants of the mirrors component."""

from typing import Final

COMPONENT: Final = 'mirrors'

# Daemons per failure domain that read the store; the others read from them.
READERS_PER_DOMAIN: Final = 1
# Daemons of the same domain, next in rank to the readers, that a feed queries
# if a reader only relays or does not answer. They become the readers then, so
# that not every daemon of the domain queries the store.
DEPUTIES_PER_DOMAIN: Final = 1
# Further daemons that a feed queries if the readers and the store fail.
FALLBACK_PEERS: Final = 2

# Longest long poll at a peer. It is short so that a stalled peer is detected
# well within the time in which a change must take effect.
MAX_LONG_POLL_S: Final = 0.5
# Time that a call to a peer may take in addition to its long poll.
CALL_TIMEOUT_S: Final = 0.35
# A peer that failed, or a reader that only relays, is avoided for this long.
PEER_BACKOFF_S: Final = 2.0
# A daemon that no daemon has heard from for this long is removed.
MEMBER_TIMEOUT_S: Final = 12.0
# Daemons that were not heard from count as running for about this long in what
# all daemons share.
FLEET_SIZE_MEMORY_S: Final = 60.0
# Longest pause between two gossip calls of a reader, each to a random daemon of
# any failure domain.
GOSSIP_INTERVAL_S: Final = 2.0
# Longest pause in the first seconds after the start, when daemons that started
# together still have to find each other, and during roll-outs, in which readers
# exchange the findings of their domains.
SHORT_INTERVAL_S: Final = 0.6
DISCOVERY_S: Final = 3.0
# Shortest pause between two pushes of findings.
PUSH_INTERVAL_S: Final = 0.1
# A reader sends the known daemons to a caller at most this often, so that its
# traffic does not grow with the square of the fleet.
MEMBERS_INTERVAL_S: Final = 2.0
# The same while it learns of new daemons.
NEW_MEMBERS_INTERVAL_S: Final = 0.25
