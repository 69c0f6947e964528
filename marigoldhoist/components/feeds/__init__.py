"""Follow topics of the store, keeping the newest record of each key."""

from marigoldhoist.components.feeds.const import COMPONENT
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, deployment=GATEWAY)
def set_up(kernel: Kernel) -> FeedService:
    """Create the feed service."""
    return FeedService(kernel)
