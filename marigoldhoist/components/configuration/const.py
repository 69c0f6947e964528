"""Constants of the configuration component."""

from typing import Final

COMPONENT: Final = 'configuration'
