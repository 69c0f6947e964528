"""Constants of the metrics component."""

from typing import Final

COMPONENT: Final = 'metrics'
STAGE_ORDER: Final = 5
# Values of the `outcome` label of requests that were answered, in full or in
# part. The value for a failed request is its error code.
ANSWERED: Final = 'answered'
CUT: Final = 'cut'
