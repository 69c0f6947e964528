"""Background tasks of the event loop that survive unexpected errors.

A task that ends with an exception would otherwise be missing without a trace
until the daemon is restarted.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from marigoldhoist.core.events import declare_event, emit

# Pause before the work is started again, so that a lasting error does not
# occupy the daemon.
RESTART_PAUSE_S: Final = 0.5

TASK_RESTARTED = declare_event(
    1004,
    'task_restarted',
    'error',
    'A background task failed unexpectedly and is started again.',
)


def start_background(
    name: str, work: Callable[[], Awaitable[None]]
) -> asyncio.Task[None]:
    """Start a task that runs `work` again after an unexpected error."""
    return asyncio.get_running_loop().create_task(_run(name, work))


async def _run(name: str, work: Callable[[], Awaitable[None]]) -> None:
    while await _fails(name, work):
        await asyncio.sleep(RESTART_PAUSE_S)


async def _fails(name: str, work: Callable[[], Awaitable[None]]) -> bool:
    """Run the work once; return whether an unexpected error ended it."""
    try:
        await work()
    except Exception as error:
        emit(TASK_RESTARTED, task=name, error=repr(error))
        return True
    return False
