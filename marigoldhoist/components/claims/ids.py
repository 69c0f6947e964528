"""Read the time that a request id carries."""

import uuid

from marigoldhoist.components.claims.const import (
    UUID_TIME_SHIFT_BITS,
    UUID_TIME_VERSION,
)


def order_time_ms(request_id: str) -> int | None:
    """Return the time of a UUIDv7 in ms since 1970, none for other ids."""
    try:
        parsed = uuid.UUID(request_id)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION:
        return None
    return parsed.int >> UUID_TIME_SHIFT_BITS
