"""Constants of the claims component."""

from typing import Final

COMPONENT: Final = 'claims'

CLAIM_KIND: Final = 'claim'
OUTCOME_KIND: Final = 'claim.outcome'
HAND_OVER_TOPIC: Final = 'claims.hand_over'
STAGE_ORDER: Final = 40

FUTURE_TOLERANCE_MS: Final = 60_000
RECORDED_BODY_BYTES: Final = 4096
RETRY_AFTER_S: Final = 1.0
UUID_TIME_SHIFT_BITS: Final = 80
UUID_TIME_VERSION: Final = 7
