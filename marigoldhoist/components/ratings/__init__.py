"""Fetch ratings of answers from the platform's rating service."""

from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.ratings.const import COMPONENT
from marigoldhoist.components.ratings.service import RatingService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(QUALITY,))
def set_up(kernel: Kernel) -> RatingService:
    """Create the client of the rating service."""
    return RatingService(kernel)
