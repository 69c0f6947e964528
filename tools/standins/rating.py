"""Fake rating service with delayed and wrong ratings."""

import dataclasses
import random
import threading
import time

import msgspec

from marigoldhoist.components.ratings.models import Rating, RatingPage
from tools.standins.web import WebReply, WebRequest, WebServer, json_reply


class RatingFaults(msgspec.Struct):
    """Injected faults; `flipped_share` is the probability of a wrong rating."""

    is_down: bool = False
    flipped_share: float = 0
    delay_s: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRating:
    """A rating and the monotonic time from which readers see it."""

    visible_from_s: float
    rating: Rating


class RatingServer:
    """Serves pages of ratings in the order in which they were added."""

    def __init__(self, address: str, port: int, seed: int = 1) -> None:
        self.faults = RatingFaults()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._stored: list[StoredRating] = []
        self.server = WebServer(address, port, self.handle)

    def rate(self, workspace: str, request_id: str, is_good: bool) -> None:
        """Add a rating, inverted with probability `flipped_share`."""
        is_flipped = self._rng.random() < self.faults.flipped_share
        rating = Rating(workspace, request_id, is_good is not is_flipped)
        visible_from_s = time.monotonic() + self.faults.delay_s
        with self._lock:
            self._stored.append(StoredRating(visible_from_s, rating))

    def handle(self, request: WebRequest) -> WebReply:
        """Handle one HTTP request."""
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
            requested = self._stored[offset : offset + limit]
        visible: list[Rating] = []
        for stored in requested:
            if stored.visible_from_s > now_s:
                break
            visible.append(stored.rating)
        return RatingPage(tuple(visible), offset + len(visible))
