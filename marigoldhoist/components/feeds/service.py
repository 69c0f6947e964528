"""Run the feeds, one task for each topic that a component follows."""

import asyncio
import math
from collections.abc import Callable
from functools import partial

from marigoldhoist.components.feeds.feed import Feed, FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import (
    Position,
    ReadResult,
    Source,
    Store,
    Topic,
)
from marigoldhoist.core.background import start_background
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.kernel import BaseService, Kernel

# Takes the store and returns the sources of a feed, in the order of the
# queries.
SourceSelector = Callable[[Source], list[Source]]


class StoreSource:
    """Adapts the store to the source interface of feeds."""

    name = 'store'
    kind = 'store'
    max_wait_s = math.inf

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(
        self, topic: Topic, position: Position | None, wait_s: float
    ) -> ReadResult:
        """Return the records from a position, or all for None."""
        if position is None:
            whole = await self._store.newest(topic)
            return ReadResult(whole, 0, is_whole=True)
        tail = await self._store.read(topic, position.offset, wait_s)
        return ReadResult(tail, 0, is_whole=False)


class FeedService(BaseService):
    """Holds the feeds by topic; the platform adapter attaches the store."""

    def __init__(self, kernel: Kernel) -> None:
        self._store_calls = kernel.metrics.counter(
            'store_calls',
            'Reads of the store, by topic and outcome.',
            ('topic', 'outcome'),
        )
        self._store: Store | None = None
        self._select_sources: SourceSelector = _only_store
        self._task_by_topic: dict[Topic, asyncio.Task[None]] = {}
        self.feed_by_topic: dict[Topic, Feed] = {}

    @property
    def store(self) -> Store:
        """Return the store; raises KernelError if none is attached."""
        if self._store is None:
            raise KernelError('no store is attached to the feeds')
        return self._store

    @property
    def era(self) -> int | None:
        """Return the newest era that a feed has seen, None without eras."""
        eras = [feed.era for feed in self.feed_by_topic.values()]
        return max((era for era in eras if era is not None), default=None)

    def attach(self, store: Store) -> None:
        """Set the store that the feeds read."""
        self._store = store

    def set_source_selector(self, selector: SourceSelector) -> None:
        """Set the function that selects the sources of each read."""
        self._select_sources = selector

    def follow(
        self, plan: FeedPlan, on_update: Callable[[FeedUpdate], None]
    ) -> None:
        """Start a task that follows a topic and reports its updates."""
        feed = Feed(
            plan, self._sources, on_update, partial(self._count, plan.topic)
        )
        self.feed_by_topic[plan.topic] = feed
        self._task_by_topic[plan.topic] = start_background(
            f'feed {plan.topic.value}', feed.follow
        )

    def _sources(self) -> list[Source]:
        return self._select_sources(StoreSource(self.store))

    def _count(self, topic: Topic, outcome: str) -> None:
        self._store_calls.labels(topic.value, outcome).inc()

    def unfollow(self, topic: Topic) -> None:
        """Stop following a topic."""
        task = self._task_by_topic.pop(topic, None)
        if task is not None:
            task.cancel()
            self.feed_by_topic.pop(topic)

    def stop(self) -> None:
        """Stop all feeds and close the store."""
        for topic in tuple(self._task_by_topic):
            self.unfollow(topic)
        self.store.close()


def _only_store(store: Source) -> list[Source]:
    return [store]
