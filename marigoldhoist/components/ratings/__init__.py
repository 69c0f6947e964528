"""Read the ratings of answers from the platform's service."""

from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.ratings.const import COMPONENT
from marigoldhoist.components.ratings.service import RatingService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(QUALITY,))
def set_up(kernel: Kernel) -> RatingService:
    """Create the rating service's client."""
    return RatingService(kernel)
