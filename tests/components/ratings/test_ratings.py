"""Ratings meet their answers, once each, and are not waited for."""

from collections.abc import Iterator

import pytest

from marigoldhoist.components.quality.cells import CellKey, rating_category
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.ratings.recent import RecentAnswer, RecentAnswers
from marigoldhoist.components.ratings.service import RatingService
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.settings import parse_settings
from tools.standins.rating import RatingFaults, RatingServer
from tools.world.addresses import next_address

PORT = 7460
KEY = CellKey('model', 'task', 'small')
REQUEST = ('bench', 'one')
SETTINGS = """{
  daemon: {host: 'entry-1', failure_domain: 'zg-trnje', address: '127.0.0.1'},
  ratings: {url: 'http://%s:%d'},
}"""


class NotedQuality(QualityService):
    """Keeps what is noted."""

    def __init__(self) -> None:
        self.noted: list[tuple[CellKey, int]] = []

    def note(self, key: CellKey, category: int) -> None:
        """Keep an observation."""
        self.noted.append((key, category))


@pytest.fixture
def server() -> Iterator[RatingServer]:
    """Start a rating service."""
    started = RatingServer(next_address(), PORT)
    started.server.start()
    yield started
    started.server.stop()


@pytest.fixture
def quality() -> NotedQuality:
    """Return a quality service that keeps what is noted."""
    return NotedQuality()


@pytest.fixture
def ratings(server: RatingServer, quality: NotedQuality) -> RatingService:
    """Return a client of the rating service."""
    load_components()
    kernel = Kernel(parse_settings(SETTINGS % (server.server.address, PORT)))
    kernel.services_by_name[QUALITY] = quality
    return RatingService(kernel)


class TestRatingService:
    """The client reads on from where it was."""

    def test_repeated_and_foreign_ratings_are_ignored(
        self,
        server: RatingServer,
        quality: NotedQuality,
        ratings: RatingService,
    ) -> None:
        ratings.track_answer(REQUEST, KEY, 0.2)
        server.rate('bench', 'other', is_good=True)
        server.rate('bench', 'one', is_good=False)
        server.rate('bench', 'one', is_good=False)
        ratings.fetch()
        ratings.fetch()
        assert quality.noted == [(KEY, rating_category(0.2, is_good=False))]

    def test_outage_loses_no_rating(
        self,
        server: RatingServer,
        quality: NotedQuality,
        ratings: RatingService,
    ) -> None:
        ratings.track_answer(REQUEST, KEY, 0.2)
        server.rate('bench', 'one', is_good=True)
        server.faults = RatingFaults(is_down=True)
        ratings.fetch()
        assert not ratings.status().is_readable
        server.faults = RatingFaults()
        ratings.fetch()
        assert ratings.status().is_readable
        assert len(quality.noted) == 1


class TestRecentAnswers:
    """Memory is bounded."""

    def test_oldest_is_forgotten(self) -> None:
        recent = RecentAnswers(kept=2)
        for number in range(3):
            recent.add(('bench', str(number)), RecentAnswer(KEY, 0))
        assert recent.take(('bench', '0')) is None
        assert recent.take(('bench', '2')) is not None
