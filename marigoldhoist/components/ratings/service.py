"""Match fetched ratings with the answers of this daemon."""

import msgspec
import urllib3

from marigoldhoist.components.quality.cells import CellKey, rating_category
from marigoldhoist.components.quality.const import COMPONENT as QUALITY
from marigoldhoist.components.quality.service import QualityService
from marigoldhoist.components.ratings.const import FETCH_LIMIT, FETCH_TIMEOUT_S
from marigoldhoist.components.ratings.events import (
    RATINGS_READABLE,
    RATINGS_UNREADABLE,
)
from marigoldhoist.components.ratings.models import (
    Rating,
    RatingPage,
    RatingStatus,
)
from marigoldhoist.components.ratings.recent import RecentAnswer, RecentAnswers
from marigoldhoist.components.ratings.settings import RatingSettings
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.events import emit
from marigoldhoist.core.http_client import new_pool
from marigoldhoist.core.kernel import BaseService, Kernel


class RatingService(BaseService):
    """Polls the rating service in the background.

    No request waits for ratings, so an outage only delays them.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(RatingSettings)
        self._quality = kernel.find(QUALITY, QualityService)
        self._pool = new_pool(max_hosts=1)
        self._recent = RecentAnswers()
        self._offset = 0
        self._is_readable = True
        self._matched = 0

    def ready(self) -> None:
        """Start polling if a URL is configured."""
        if self._settings.url:
            self._kernel.spawn('ratings', self._poll)

    def status(self) -> RatingStatus:
        """Return the status shown to operators."""
        return RatingStatus(self._is_readable, self._matched)

    def track_answer(
        self, request: tuple[str, str], key: CellKey, doubt: float
    ) -> None:
        """Keep an answer for its rating, by workspace and request id."""
        if self._settings.url:
            self._recent.add(request, RecentAnswer(key, doubt))

    def fetch(self) -> None:
        """Fetch the ratings since the last successful call."""
        try:
            page = self._fetch_page()
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            self._set_readable(False, str(error))
            return
        self._set_readable(True, '')
        self._offset = page.next_offset
        for rating in page.ratings:
            self._match(rating)

    def _fetch_page(self) -> RatingPage:
        url = (
            f'{self._settings.url}/ratings'
            f'?offset={self._offset}&limit={FETCH_LIMIT}'
        )
        reply = self._pool.request('GET', url, timeout=FETCH_TIMEOUT_S)
        return decode_json(reply.data, RatingPage)

    def _match(self, rating: Rating) -> None:
        answer = self._recent.pop((rating.workspace, rating.request_id))
        if answer is None:
            return
        self._matched += 1
        category = rating_category(answer.doubt, rating.is_good)
        self._quality.note(answer.key, category)

    def _set_readable(self, is_readable: bool, error: str) -> None:
        if is_readable and not self._is_readable:
            emit(RATINGS_READABLE)
        if self._is_readable and not is_readable:
            emit(RATINGS_UNREADABLE, error=error)
        self._is_readable = is_readable

    def _poll(self) -> None:
        while not self._kernel.stopping.wait(self._settings.poll_interval_s):
            self.fetch()
