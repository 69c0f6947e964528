"""Store states of roll-outs and rejections of versions."""

import asyncio

from marigoldhoist.components.canary.context import StorageContext
from marigoldhoist.components.canary.rejection_writer import RejectionWriter
from marigoldhoist.components.canary.status_writer import StatusWriter


async def run_writers(context: StorageContext) -> None:
    """Run the tasks that store, until cancelled."""
    async with asyncio.TaskGroup() as writers:
        writers.create_task(StatusWriter(context).run())
        writers.create_task(RejectionWriter(context).run())
