"""Let daemons read the store's topics from each other, with the data's age."""

from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.mirrors.const import COMPONENT
from marigoldhoist.components.mirrors.service import MirrorService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT, needs=(FEEDS,), deployment=GATEWAY)
def set_up(kernel: Kernel) -> MirrorService:
    """Create the mirror service."""
    return MirrorService(kernel)
