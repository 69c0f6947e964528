"""Ratings, as the platform's service gives them."""

import msgspec


class Rating(msgspec.Struct, frozen=True):
    """One answer's rating; a second one of the same answer is ignored."""

    workspace: str
    request_id: str
    is_good: bool


class RatingPage(msgspec.Struct, frozen=True):
    """Ratings from an offset on, and the offset to ask for next."""

    ratings: tuple[Rating, ...]
    next_offset: int


class RatingStatus(msgspec.Struct, frozen=True):
    """Whether ratings can be read, and how many were of own answers."""

    is_readable: bool
    matched: int
