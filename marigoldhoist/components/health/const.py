"""Constants of the health component."""

from typing import Final

COMPONENT: Final = 'health'

SECONDS_PER_MONTH: Final = 30 * 86_400
# The alarm threshold is set so that a model has at most this many false alarms,
# with a margin of this factor.
MAX_FALSE_ALARMS_PER_MONTH: Final = 1.0
THRESHOLD_SAFETY_FACTOR: Final = 2.0
# Minimum traffic assumed for the alarm threshold, in answers per second.
MIN_ANSWERS_PER_S: Final = 1.0

# Pseudo-count: the baseline starts with this many answers that follow the
# model's fitted doubt distribution and have no fault.
BASELINE_PRIOR_ANSWERS: Final = 20.0
# Lower bounds of a baseline's shares of failed and slow answers.
MIN_BASELINE_FAILURE_RATE: Final = 0.005
MIN_BASELINE_SLOW_RATE: Final = 0.02
# The baseline's quality is this many standard deviations below the estimate.
QUALITY_MARGIN_DEVIATIONS: Final = 1.5
# With fewer answers than this the baseline is not based on their counts: its
# quality is at most MAX_UNKNOWN_QUALITY, and its shares of failed and slow
# answers are UNKNOWN_FAULT_RATE.
MIN_BASELINE_ANSWERS: Final = 200
MAX_UNKNOWN_QUALITY: Final = 0.5
UNKNOWN_FAULT_RATE: Final = 0.03

# If a version has replicas in several failure domains, its evidence without
# that of the largest domain must reach this share of the threshold. Otherwise
# the failure of a single domain would look like a bad version.
MIN_OTHER_DOMAINS_SHARE: Final = 0.5
# A version's baseline is updated only while its evidence is below this share of
# the threshold.
MAX_CALIBRATION_SHARE: Final = 0.25
CALIBRATION_INTERVAL_S: Final = 10.0

STAGE_ORDER: Final = 60
HOLD_TOPIC: Final = 'health.hold'
# Interval at which local holds are checked, published and submitted again.
SUBMIT_INTERVAL_S: Final = 2.0
# A daemon that received a hold from a peer submits it to the table itself only
# after one to two times this delay.
PEER_SUBMIT_DELAY_S: Final = 30.0
AUTHOR: Final = 'health'
