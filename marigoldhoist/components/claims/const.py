"""Constants of the claims component."""

from typing import Final

COMPONENT: Final = 'claims'

CLAIM_KIND: Final = 'claim'
OUTCOME_KIND: Final = 'claim.outcome'
HAND_OVER_TOPIC: Final = 'claims.hand_over'
# Position among the dispatch stages; lower ones admit a request first.
STAGE_ORDER: Final = 40

# How far in the future the timestamp of a request id may be.
CLOCK_SKEW_TOLERANCE_MS: Final = 60_000
# Larger response bodies are not recorded for duplicate requests.
MAX_RECORDED_BODY_BYTES: Final = 4096
RETRY_AFTER_S: Final = 1.0
# A UUIDv7 has its timestamp in the 48 bits above these.
UUID_TIME_SHIFT_BITS: Final = 80
UUID_TIME_VERSION: Final = 7
