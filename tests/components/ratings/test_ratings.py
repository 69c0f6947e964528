"""Test that each rating is matched once with its answer."""

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


class RecordingQualityService(QualityService):
    """Records the noted categories instead of counting them."""

    def __init__(self) -> None:
        self.noted: list[tuple[CellKey, int]] = []

    def note(self, key: CellKey, category: int) -> None:
        """Record a category."""
        self.noted.append((key, category))


@pytest.fixture
def server() -> Iterator[RatingServer]:
    """Run a stand-in of the rating service."""
    started = RatingServer(next_address(), PORT)
    started.server.start()
    yield started
    started.server.stop()


@pytest.fixture
def quality() -> RecordingQualityService:
    """Return a quality service that records the noted categories."""
    return RecordingQualityService()


@pytest.fixture
def ratings(
    server: RatingServer, quality: RecordingQualityService
) -> RatingService:
    """Return a client of the rating service stand-in."""
    load_components()
    kernel = Kernel(parse_settings(SETTINGS % (server.server.address, PORT)))
    kernel.services_by_name[QUALITY] = quality
    return RatingService(kernel)


class TestRatingService:
    """Test that the client continues after the last fetched rating."""

    def test_repeated_and_unmatched_ratings_are_ignored(
        self,
        server: RatingServer,
        quality: RecordingQualityService,
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
        quality: RecordingQualityService,
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
    """Test that the number of kept answers is limited."""

    def test_oldest_answer_is_dropped(self) -> None:
        recent = RecentAnswers(max_answers=2)
        for number in range(3):
            recent.add(('bench', str(number)), RecentAnswer(KEY, 0))
        assert recent.pop(('bench', '0')) is None
        assert recent.pop(('bench', '2')) is not None
