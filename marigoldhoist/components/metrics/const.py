"""Constants of the metrics component."""

from typing import Final

COMPONENT: Final = 'metrics'
STAGE_ORDER: Final = 5
ANSWERED: Final = 'answered'
CUT: Final = 'cut'
