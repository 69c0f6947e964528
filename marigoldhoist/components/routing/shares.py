"""Decide which requests a version may take while it is rolled out."""

import xxhash

from marigoldhoist.core.rendezvous import HASH_RANGE


def is_within_share(key: str, version: str, share: float) -> bool:
    """Tell whether a request is among those a version may take.

    Every daemon answers alike for one key, and a share that grows keeps
    the requests it had.
    """
    digest = xxhash.xxh3_64_intdigest(f'{version}\0{key}'.encode())
    return digest < share * HASH_RANGE
