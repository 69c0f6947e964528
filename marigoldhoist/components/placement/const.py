"""Constants of replica selection; loads are in requests per slot."""

from typing import Final

# Time over which the effective slots of a newly seen replica ramp up.
SLOW_START_S: Final = 30.0
# Share of its slots that a replica counts with at the start of the ramp.
MIN_WARM_SHARE: Final = 0.1
# Load added to the score of a replica in another failure domain.
SPILL_MARGIN: Final = 0.5
# Load subtracted from the score of a replica that caches the whole prompt.
AFFINITY_BONUS: Final = 0.25
# Multiple of the mean load up to which a cached prefix attracts requests.
AFFINITY_BOUND: Final = 1.25
# Time constant of the decay of a load report, as a share of the service time.
DECAY_TIME_SHARE: Final = 0.25
# Width of the interval that a load is drawn from, in standard deviations.
SPREAD_STD_DEVS: Final = 1.75
# Mean of a random number drawn uniformly from 0 to 1.
UNIFORM_MEAN: Final = 0.5
# Rate at which own requests per replica shrink that interval: its width is
# multiplied by exp(-OWN_COUNT_WEIGHT * mean own requests in flight).
OWN_COUNT_WEIGHT: Final = 2.0
