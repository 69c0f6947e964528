"""Identify the parts of prompts that several requests share."""

import itertools
from collections.abc import Sequence

import xxhash

from marigoldhoist.components.quarantine.const import (
    MAX_PART_ID_LENGTH,
    MAX_PARTS_PER_CALL,
)


def shared_part_ids(part_ids: Sequence[str]) -> tuple[str, ...]:
    """Return the ids of all parts but the last, which is the request's own.

    Callers choose the ids, so long ones are replaced by a hash.
    """
    shared = itertools.islice(part_ids, max(0, len(part_ids) - 1))
    return tuple(
        _bounded(part_id)
        for part_id in itertools.islice(shared, MAX_PARTS_PER_CALL)
    )


def _bounded(part_id: str) -> str:
    if len(part_id) <= MAX_PART_ID_LENGTH:
        return part_id
    return xxhash.xxh3_64_hexdigest(part_id.encode())
