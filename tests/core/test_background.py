"""Background tasks of the event loop."""

import asyncio
import contextlib

import pytest

from marigoldhoist.core.background import start_background


class TestStartBackground:
    """Work that fails is started again, unless it is cancelled."""

    def test_unexpected_error_does_not_end_the_work(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr('marigoldhoist.core.background.RESTART_PAUSE_S', 0)
        runs: list[int] = []

        async def work() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise KeyError('missing')

        async def scenario() -> None:
            await start_background('work', work)

        asyncio.run(scenario())
        assert len(runs) == 3

    def test_cancelled_work_ends(self) -> None:
        async def scenario() -> bool:
            task = start_background('work', asyncio.Event().wait)  # type: ignore[arg-type]
            await asyncio.sleep(0)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            return task.cancelled()

        assert asyncio.run(scenario())
