"""Messages of the rating service and the status of its client."""

import msgspec


class Rating(msgspec.Struct, frozen=True):
    """The rating of one answer; later ratings of the answer are ignored."""

    workspace: str
    request_id: str
    is_good: bool


class RatingPage(msgspec.Struct, frozen=True):
    """Ratings from an offset on, and the offset of the next page."""

    ratings: tuple[Rating, ...]
    next_offset: int


class RatingStatus(msgspec.Struct, frozen=True):
    """Whether ratings can be fetched, and how many matched own answers."""

    is_readable: bool
    matched: int
