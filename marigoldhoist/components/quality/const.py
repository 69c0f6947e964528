"""Constants of the quality component."""

from typing import Final

COMPONENT: Final = 'quality'

# Counted categories of answers. The first ones are bins of the doubt score;
# ratings are counted by rating and bin.
BINS: Final = 10
FAILED: Final = BINS
SLOW: Final = BINS + 1
RATED_GOOD: Final = BINS + 2
RATED_BAD: Final = RATED_GOOD + BINS
SUCCEEDED: Final = RATED_BAD + BINS
CATEGORIES: Final = SUCCEEDED + 1

# Probability that a rating is the opposite of the answer's true quality.
RATING_ERROR_RATE: Final = 0.1
# Weight of an arm's prior quality, as a number of answers.
PRIOR_ANSWERS: Final = 6.0
# A beta distribution is not refitted to fewer answers than this.
MIN_FIT_ANSWERS: Final = 20.0
# Alpha and beta of the doubt distributions before any fit.
PRIOR_GOOD_DOUBT: Final = (2.0, 4.0)
PRIOR_BAD_DOUBT: Final = (4.0, 2.0)
# Prior qualities of the cheapest and the costliest version; those between are
# interpolated by rank.
PRIOR_CHEAPEST_QUALITY: Final = 0.65
PRIOR_COSTLIEST_QUALITY: Final = 0.92
# Older answers of an arm are discounted beyond this number.
MEMORY_ANSWERS: Final = 50_000
# Rounds of expectation maximization per fit.
FIT_ROUNDS: Final = 4
MIN_BIN_PROBABILITY: Final = 1e-6
# Posterior standard deviations, times the sampling width, by which the mean of
# a sampled quality is lowered.
CAUTION_DEVIATIONS: Final = 1.5

CELLS_TOPIC: Final = 'quality.cells'
SHARE_INTERVAL_S: Final = 0.5
# Rounds of sharing between two full summaries. The rounds in between send only
# changed counts, so the full summary makes up for lost ones.
FULL_SUMMARY_ROUNDS: Final = 20
# Limit of distinct tasks. Further ones are counted as OTHER_TASK.
MAX_TASKS: Final = 32
OTHER_TASK: Final = 'other'
