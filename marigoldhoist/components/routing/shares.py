"""Assign requests to a version that is being rolled out."""

import xxhash

from marigoldhoist.core.rendezvous import HASH_RANGE


def is_within_share(key: str, version: str, share: float) -> bool:
    """Return whether a request belongs to a version's share of requests.

    The result depends only on the arguments, so all daemons agree on a key.
    A growing share keeps the keys that it already has.
    """
    digest = xxhash.xxh3_64_intdigest(f'{version}\0{key}'.encode())
    return digest < share * HASH_RANGE
