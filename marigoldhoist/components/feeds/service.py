"""The feed service: one task for each topic that a component follows."""

import asyncio
from collections.abc import Callable
from functools import partial

from marigoldhoist.components.feeds.feed import Feed, FeedNews, FeedPlan
from marigoldhoist.components.feeds.models import Store, Topic
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.kernel import BaseService, Kernel


class FeedService(BaseService):
    """Feeds by topic; the platform's adapter attaches the store."""

    def __init__(self, kernel: Kernel) -> None:
        self._calls = kernel.metrics.counter(
            'store_calls',
            'Reads of the store, by topic and outcome.',
            ('topic', 'outcome'),
        )
        self._store: Store | None = None
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

    def follow(self, plan: FeedPlan, tell: Callable[[FeedNews], None]) -> None:
        """Follow a topic on a task of its own."""
        feed = Feed(plan, self.store, tell, partial(self._count, plan.topic))
        self.feed_by_topic[plan.topic] = feed
        self._task_by_topic[plan.topic] = (
            asyncio.get_running_loop().create_task(feed.follow())
        )

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
