"""Constants of the gateway component."""

from typing import Final

COMPONENT: Final = 'gateway'

# A caller's connection is closed after this multiple of its idle timeout, so
# that one the caller still means to use is never closed.
IDLE_MARGIN: Final = 1.25

# An opening packet that was lost is sent again after 1 s: sooner elsewhere.
CONNECT_TIMEOUT_S: Final = 0.4
# Idle connections are kept for this share of the time that the replica names.
KEPT_SHARE: Final = 0.7
# A call that may run once reuses only connections idle for less than this
# share of it, so that the replica is not about to close them.
KEPT_SHARE_AT_MOST_ONCE: Final = 0.4
# Where a replica names no idle timeout.
DEFAULT_IDLE_S: Final = 2.0

# The kernel's probes find a peer that lost power or is cut off in about 3 s,
# while one that only works slowly still answers them.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
USER_TIMEOUT_MS: Final = 2500

# Refusals tell callers when to come back, spread over this range.
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 0.8
# Callers wait at most this share of the time that they have left.
RETRY_AFTER_SHARE: Final = 0.3

# Less than this is not worth a send.
MIN_SEND_S: Final = 0.02

# The balancer asks once a second and takes a host out after two misses.
BALANCER_NOTICE_S: Final = 2.6
# Left of the time allowed for a stop, for the process to end by itself.
STOP_RESERVE_S: Final = 0.4
STOP_POLL_S: Final = 0.05

# A configuration that the store has not confirmed for this share of the time
# within which a key must stop working is not served with keys.
KEY_AGE_SHARE: Final = 0.98
