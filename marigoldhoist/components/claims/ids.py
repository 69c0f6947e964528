"""Extract the timestamp of a request id."""

import uuid

from marigoldhoist.components.claims.const import (
    UUID_TIME_SHIFT_BITS,
    UUID_TIME_VERSION,
)


def request_time_ms(request_id: str) -> int | None:
    """Return a UUIDv7's timestamp in ms since 1970, None for other ids."""
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION:
        return None
    return parsed.int >> UUID_TIME_SHIFT_BITS
