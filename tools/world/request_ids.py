"""Make request ids that carry their time (UUID version 7)."""

import secrets
import time
import uuid

VERSION_BITS = 7 << 76
VARIANT_BITS = 2 << 62
TIME_SHIFT = 80
RANDOM_A_BITS = 12
RANDOM_A_SHIFT = 64
RANDOM_B_BITS = 62


def timed_id(now_ms: int | None = None) -> str:
    """Return a UUIDv7 of now, or of the given time in ms since 1970."""
    moment_ms = int(time.time() * 1000) if now_ms is None else now_ms
    number = moment_ms << TIME_SHIFT
    number |= VERSION_BITS
    number |= secrets.randbits(RANDOM_A_BITS) << RANDOM_A_SHIFT
    number |= VARIANT_BITS
    number |= secrets.randbits(RANDOM_B_BITS)
    return str(uuid.UUID(int=number))
