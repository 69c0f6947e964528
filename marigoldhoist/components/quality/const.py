"""Constants of the quality component."""

from typing import Final

COMPONENT: Final = 'quality'

BINS: Final = 10
FAILED: Final = BINS
SLOW: Final = BINS + 1
RATED_GOOD: Final = BINS + 2
RATED_BAD: Final = RATED_GOOD + BINS
SUCCEEDED: Final = RATED_BAD + BINS
CATEGORIES: Final = SUCCEEDED + 1

RATING_ERROR_RATE: Final = 0.1
PRIOR_ANSWERS: Final = 6.0
LEAST_LAW_ANSWERS: Final = 20.0
PRIOR_GOOD_LAW: Final = (2.0, 4.0)
PRIOR_BAD_LAW: Final = (4.0, 2.0)
PRIOR_CHEAPEST: Final = 0.65
PRIOR_DEAREST: Final = 0.92
MEMORY_ANSWERS: Final = 50_000
FIT_ROUNDS: Final = 4
LEAST_CHANCE: Final = 1e-6
CAUTION: Final = 1.5

CELLS_TOPIC: Final = 'quality.cells'
SHARE_INTERVAL_S: Final = 0.5
FULL_EVERY: Final = 20
TASKS_AT_MOST: Final = 32
OTHER_TASK: Final = 'other'
