"""Run an asyncio event loop on a dedicated thread."""

import asyncio
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from typing import Any, TypeVar

ValueT = TypeVar('ValueT')


class LoopThread:
    """An asyncio event loop to which other threads submit coroutines."""

    def __init__(self, name: str) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self.loop.run_forever, name=name, daemon=True
        )

    def start(self) -> None:
        """Start the loop."""
        self._thread.start()

    def submit(self, work: Coroutine[Any, Any, ValueT]) -> Future[ValueT]:
        """Schedule a coroutine on the loop from any thread."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def stop(self, timeout_s: float) -> None:
        """Cancel all tasks and stop the loop.

        Cancelling and joining the thread may take timeout_s seconds each.
        """
        if not self._thread.is_alive():
            return
        self.submit(_cancel_others()).result(timeout_s)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(timeout_s)


async def _cancel_others() -> None:
    others = [
        task
        for task in asyncio.all_tasks()
        if task is not asyncio.current_task()
    ]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
