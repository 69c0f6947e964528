"""Constants of the gateway component."""

from typing import Final

COMPONENT: Final = 'gateway'

# A caller's connection is closed after this multiple of the configured idle
# timeout, so that a connection the caller may still use is not closed.
IDLE_TIMEOUT_FACTOR: Final = 1.25

# A lost SYN is retransmitted only after 1 s, so trying another replica is
# faster.
CONNECT_TIMEOUT_S: Final = 0.4
# Pause between two attempts to connect to the replicas that are unreachable.
PROBE_INTERVAL_S: Final = 0.5
# Idle connections are kept for this share of the idle timeout that the replica
# announces.
IDLE_REUSE_SHARE: Final = 0.7
# At-most-once calls reuse only connections that were idle for less than this
# share of the idle timeout, so that the replica is not about to close them.
IDLE_REUSE_SHARE_AT_MOST_ONCE: Final = 0.4
# Idle timeout of replicas that announce none.
DEFAULT_IDLE_TIMEOUT_S: Final = 2.0

# TCP keepalive detects a peer that lost power or is partitioned in about 3 s,
# while a peer that is merely slow still acknowledges the probes.
KEEPALIVE_IDLE_S: Final = 1
KEEPALIVE_INTERVAL_S: Final = 1
KEEPALIVE_PROBES: Final = 2
TCP_USER_TIMEOUT_MS: Final = 2500

# Range of the random retry delay that refused callers are given.
RETRY_AFTER_MIN_S: Final = 0.2
RETRY_AFTER_MAX_S: Final = 0.8
# The retry delay is at most this share of the time that the call has left.
RETRY_AFTER_SHARE: Final = 0.3

# A caller that has not read its response within this time has left.
FLUSH_TIMEOUT_S: Final = 60.0

# Largest body of a response that is delivered as a whole. One of a refusal is
# only read so that its connection can be used again.
MAX_RESPONSE_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_REFUSAL_BODY_BYTES: Final = 64 * 1024
# Time for the rest of a refusal, which the caller waits for.
REFUSAL_BODY_TIMEOUT_S: Final = 0.25
# How long an answer is awaited for which the call has no time left. The replica
# works on for as long if it was not about to answer.
LATE_HEAD_TIMEOUT_S: Final = 0.1
# Parts of responses to other requests that are skipped on one connection.
MAX_SKIPPED_ITEMS: Final = 64

# A call with less time left than this is not sent.
MIN_SEND_TIME_LEFT_S: Final = 0.02

# The load balancer polls readiness once a second and removes a host after two
# failed polls.
BALANCER_DETECTION_S: Final = 2.6
# Part of the stop grace period reserved for the process to exit by itself.
STOP_EXIT_RESERVE_S: Final = 0.4
STOP_POLL_INTERVAL_S: Final = 0.05

# Calls with an API key are refused once the store has not confirmed the
# configuration for this share of the key withdrawal time, within which a
# withdrawn key must stop working.
MAX_KEY_AGE_SHARE: Final = 0.98
