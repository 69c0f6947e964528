"""Relay of streamed responses from upstreams to callers."""

from marigoldhoist.components.streams.const import COMPONENT
from marigoldhoist.components.streams.service import StreamService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT)
def set_up(kernel: Kernel) -> StreamService:
    """Create the stream service."""
    return StreamService(kernel)
