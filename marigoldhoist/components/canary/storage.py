"""Store states of roll-outs and rejections of versions."""

import asyncio

from marigoldhoist.components.canary.context import StorageContext
from marigoldhoist.components.canary.rejection_writer import RejectionWriter
from marigoldhoist.components.canary.status_writer import StatusWriter
from marigoldhoist.core.background import start_background


def start_writers(
    context: StorageContext,
) -> tuple[asyncio.Task[None], ...]:
    """Start the tasks that store."""
    return (
        start_background('states', StatusWriter(context).run),
        start_background('rejections', RejectionWriter(context).run),
    )
