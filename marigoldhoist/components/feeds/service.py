"""The feed service: one task for each topic that a component follows."""

import asyncio
from collections.abc import Callable
from functools import partial

from marigoldhoist.components.feeds.feed import Feed, FeedPlan, FeedUpdate
from marigoldhoist.components.feeds.models import (
    ReadResult,
    Source,
    Store,
    Topic,
)
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.kernel import BaseService, Kernel

# Takes the store; returns whom a feed asks, in that order.
SourceSelector = Callable[[Source], list[Source]]


class StoreSource:
    """The store as the source of a feed."""

    name = 'store'
    kind = 'store'

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(
        self, topic: Topic, offset: int | None, wait_s: float
    ) -> ReadResult:
        """Return what the store has from an offset on."""
        if offset is None:
            whole = await self._store.newest(topic)
            return ReadResult(whole, 0, is_whole=True)
        tail = await self._store.read(topic, offset, wait_s)
        return ReadResult(tail, 0, is_whole=False)


class FeedService(BaseService):
    """Feeds by topic; the platform's adapter attaches the store."""

    def __init__(self, kernel: Kernel) -> None:
        self._calls = kernel.metrics.counter(
            'store_calls',
            'Reads of the store, by topic and outcome.',
            ('topic', 'outcome'),
        )
        self._store: Store | None = None
        self._order: SourceSelector = _store_alone
        self._task_by_topic: dict[Topic, asyncio.Task[None]] = {}
        self.feed_by_topic: dict[Topic, Feed] = {}

    @property
    def store(self) -> Store:
        """Return the store; KernelError where none was attached."""
        if self._store is None:
            raise KernelError('no store is attached to the feeds')
        return self._store

    def attach(self, store: Store) -> None:
        """Use that store."""
        self._store = store

    def set_source_selector(self, order: SourceSelector) -> None:
        """Have feeds ask others than the store as well."""
        self._order = order

    def follow(
        self, plan: FeedPlan, tell: Callable[[FeedUpdate], None]
    ) -> None:
        """Follow a topic on a task of its own."""
        feed = Feed(plan, self._sources, tell, partial(self._count, plan.topic))
        self.feed_by_topic[plan.topic] = feed
        self._task_by_topic[plan.topic] = (
            asyncio.get_running_loop().create_task(feed.follow())
        )

    def _sources(self) -> list[Source]:
        return self._order(StoreSource(self.store))

    def _count(self, topic: Topic, outcome: str) -> None:
        self._calls.labels(topic.value, outcome).inc()

    def unfollow(self, topic: Topic) -> None:
        """Stop following a topic."""
        task = self._task_by_topic.pop(topic, None)
        if task is not None:
            task.cancel()
            self.feed_by_topic.pop(topic)

    def stop(self) -> None:
        """Stop every feed."""
        for topic in tuple(self._task_by_topic):
            self.unfollow(topic)
        self.store.close()


def _store_alone(store: Source) -> list[Source]:
    return [store]
