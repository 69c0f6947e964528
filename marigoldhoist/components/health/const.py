"""Constants of the health component."""

from typing import Final

COMPONENT: Final = 'health'

S_PER_MONTH: Final = 30 * 86_400
FALSE_ALARMS_PER_MONTH: Final = 1.0
SAFETY: Final = 2.0
BASELINE_ANSWERS: Final = 20.0
BASELINE_FAILED: Final = 0.005
BASELINE_SLOW: Final = 0.02
DOMAIN_SHARE: Final = 0.5
CALM_SHARE: Final = 0.25
LEAST_ANSWERS_PER_S: Final = 1.0
CAUTION: Final = 1.5
KNOWN_ANSWERS: Final = 200
UNKNOWN_QUALITY: Final = 0.5
UNKNOWN_FAILED: Final = 0.03

STAGE_ORDER: Final = 60
HOLD_TOPIC: Final = 'health.hold'
CALIBRATE_EVERY_S: Final = 10.0
SUBMIT_INTERVAL_S: Final = 2.0
OTHERS_WAIT_S: Final = 30.0
AUTHOR: Final = 'health'
