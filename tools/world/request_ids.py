"""Generate request ids that contain a timestamp (UUID version 7)."""

import secrets
import time
import uuid

# Bit layout of a version 7 UUID, see RFC 9562.
VERSION_BITS = 7 << 76
VARIANT_BITS = 2 << 62
TIMESTAMP_SHIFT = 80
RANDOM_A_BITS = 12
RANDOM_A_SHIFT = 64
RANDOM_B_BITS = 62


def new_uuid7(now_ms: int | None = None) -> str:
    """Return a UUIDv7 for now, or for the given Unix time in milliseconds."""
    timestamp_ms = int(time.time() * 1000) if now_ms is None else now_ms
    number = timestamp_ms << TIMESTAMP_SHIFT
    number |= VERSION_BITS
    number |= secrets.randbits(RANDOM_A_BITS) << RANDOM_A_SHIFT
    number |= VARIANT_BITS
    number |= secrets.randbits(RANDOM_B_BITS)
    return str(uuid.UUID(int=number))
