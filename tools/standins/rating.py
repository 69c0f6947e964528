"""The platform's service that rates answers, late and now and then wrongly."""

import dataclasses
import random
import threading
import time

import msgspec

from marigoldhoist.components.ratings.models import Rating, RatingPage
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply


class RatingFaults(msgspec.Struct):
    """Faults of the rating service."""

    is_down: bool = False
    flipped_share: float = 0
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRating:
    """A rating and the time from which it is shown."""

    shown_s: float
    rating: Rating


class RatingServer:
    """Shows the ratings that it was given, in their order."""

    def __init__(self, address: str, port: int, seed: int = 1) -> None:
        self.faults = RatingFaults()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._stored: list[StoredRating] = []
        self.server = WebServer(address, port, self.handle)

    def rate(self, workspace: str, request_id: str, is_good: bool) -> None:
        """Rate an answer; a flipped rating says the opposite."""
        is_flipped = self._rng.random() < self.faults.flipped_share
        rating = Rating(workspace, request_id, is_good is not is_flipped)
        shown_s = time.monotonic() + self.faults.delay_s
        with self._lock:
            self._stored.append(StoredRating(shown_s, rating))

    def handle(self, request: WebRequest) -> WebReply:
        """Answer one request."""
        if request.path == '/faults':
            self.faults = msgspec.json.decode(request.body, type=RatingFaults)
            return json_reply(self.faults)
        if self.faults.is_down:
            return json_reply({'error': 'down'}, 503)
        offset = int(request.query.get('offset', 0))
        limit = int(request.query.get('limit', 100))
        return json_reply(self._page(offset, limit))

    def _page(self, offset: int, limit: int) -> RatingPage:
        now_s = time.monotonic()
        with self._lock:
            wanted = self._stored[offset : offset + limit]
        shown: list[Rating] = []
        for stored in wanted:
            if stored.shown_s > now_s:
                break
            shown.append(stored.rating)
        return RatingPage(tuple(shown), offset + len(shown))
