"""Retry budgets, which also cover hedged requests and resumed streams."""

from marigoldhoist.components.retries.const import COMPONENT
from marigoldhoist.components.retries.service import RetryService
from marigoldhoist.core.kernel import Kernel, component


@component(COMPONENT)
def set_up(kernel: Kernel) -> RetryService:
    """Create the retry service."""
    return RetryService(kernel)
