"""Weighted rendezvous hashing, which lets daemons agree without messages."""

import math
from collections.abc import Mapping
from typing import Final

import xxhash

HASH_RANGE: Final = 2**64


def pick_by_weight(weights: Mapping[str, int], key: str) -> str:
    """Pick a name by weighted rendezvous hashing of the key.

    Every daemon picks the same name for the same key and weights. A change of
    one weight remaps only the keys that gain or lose that name.
    """
    return max(weights, key=lambda name: _score(name, weights, key))


def _score(name: str, weights: Mapping[str, int], key: str) -> float:
    digest = xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
    uniform = (digest + 1) / (HASH_RANGE + 1)
    return -weights[name] / math.log(uniform)
