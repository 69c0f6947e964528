"""Query the sources of a topic without waiting for silent ones."""

import asyncio
import dataclasses
import math
from collections.abc import AsyncGenerator, Iterable
from typing import Final

from marigoldhoist.components.feeds.errors import (
    HistoryLostError,
    StoreUnavailableError,
)
from marigoldhoist.components.feeds.events import LATE_READ_FAILED
from marigoldhoist.components.feeds.models import (
    Position,
    ReadResult,
    Source,
    Topic,
)
from marigoldhoist.core.clock import SystemClock
from marigoldhoist.core.events import emit

# A source that gave no answer for this long after its long poll is silent.
SILENCE_S: Final = 0.2


@dataclasses.dataclass(slots=True)
class Query:
    """A read of a source; it was sent and ended at boot times."""

    source: Source
    position: Position | None
    sent_s: float
    task: asyncio.Task[ReadResult]
    ended_s: float = math.inf

    def described(self, reason: object) -> str:
        """Return the reason for a failure with the time that it took."""
        return f'{reason} (after {self.ended_s - self.sent_s:.2f} s)'


class SourceQueries:
    """Sends the reads of one topic to its sources.

    Each is sent from the `position` that the owner last set.
    """

    def __init__(self, topic: Topic, clock: SystemClock) -> None:
        self._topic = topic
        self._clock = clock
        self._abandoned: set[asyncio.Task[ReadResult]] = set()
        self.position: Position | None = None

    async def answered(
        self, sources: Iterable[Source], wait_s: float
    ) -> AsyncGenerator[Query, None]:
        """Yield the queries in the order of their answers or errors.

        A source is queried as soon as the one before it has answered or is
        silent, without a long poll in that case. Queries that are still running
        when the caller has enough are left to end on their own, so that a
        source that fails is known to fail.
        """
        running: dict[asyncio.Task[ReadResult], Query] = {}
        try:
            for source in sources:
                poll_s = 0 if running else min(wait_s, source.max_wait_s)
                query = self._send(source, poll_s)
                running[query.task] = query
                for task in await _first_done(running, poll_s + SILENCE_S):
                    yield self._ended(running.pop(task))
            while running:
                for task in await _first_done(running, None):
                    yield self._ended(running.pop(task))
        finally:
            for task in running:
                self._abandon(task)

    def cancel(self) -> None:
        """Cancel the queries whose answers nobody waits for."""
        for task in self._abandoned:
            task.cancel()

    def _send(self, source: Source, poll_s: float) -> Query:
        read = source.read(self._topic, self.position, poll_s)
        task = asyncio.ensure_future(read)
        return Query(source, self.position, self._clock.boottime_s(), task)

    def _ended(self, query: Query) -> Query:
        query.ended_s = self._clock.boottime_s()
        return query

    def _abandon(self, task: asyncio.Task[ReadResult]) -> None:
        self._abandoned.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[ReadResult]) -> None:
        self._abandoned.discard(task)
        error = None if task.cancelled() else task.exception()
        # Sources log these themselves.
        is_expected = isinstance(
            error, (StoreUnavailableError, HistoryLostError)
        )
        if error is not None and not is_expected:
            emit(LATE_READ_FAILED, topic=self._topic.value, error=repr(error))


async def _first_done(
    running: Iterable[asyncio.Task[ReadResult]], timeout_s: float | None
) -> set[asyncio.Task[ReadResult]]:
    done, _ = await asyncio.wait(
        set(running),
        timeout=timeout_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    return done
