"""Identify what a request shares with others, and the request as a whole."""

import functools
import hashlib
import itertools
from collections.abc import Sequence
from typing import Final

import xxhash

from marigoldhoist.components.quarantine.const import (
    MAX_PART_ID_LENGTH,
    MAX_PARTS_PER_CALL,
)
from marigoldhoist.core.body import Body

# Prefix of the ids of whole requests.
REQUEST_PREFIX: Final = 'request/'
REQUEST_DIGEST_BYTES: Final = 8
LENGTH_BYTES: Final = 8


class RequestParts:
    """The parts of one request, the most widely shared first.

    The last one is the request itself. Its id is a hash of `fields`, which are
    equal whenever its caller sends it again. It is only computed when it is
    needed, as the body may be large.
    """

    def __init__(
        self, prompt_part_ids: Sequence[str], fields: Sequence[bytes | Body]
    ) -> None:
        self.shared = shared_part_ids(prompt_part_ids)
        self._fields = fields

    @functools.cached_property
    def whole(self) -> str:
        """Return the id of the whole request."""
        digest = hashlib.blake2b(digest_size=REQUEST_DIGEST_BYTES)
        for field in self._fields:
            digest.update(len(field).to_bytes(LENGTH_BYTES))
            for part in field.parts if isinstance(field, Body) else (field,):
                digest.update(part)
        return REQUEST_PREFIX + digest.hexdigest()

    def release_fields(self) -> None:
        """Compute the id of the whole request and drop what it is made of.

        The parts may outlive the request, whose body may be large.
        """
        self._fields = (self.whole.encode(),)

    @property
    def ids(self) -> tuple[str, ...]:
        """Return the ids of the shared parts and of the whole request."""
        return (*self.shared, self.whole)


def is_whole_request(part_id: str) -> bool:
    """Return whether an id is that of a whole request."""
    return part_id.startswith(REQUEST_PREFIX)


def shared_part_ids(part_ids: Sequence[str]) -> tuple[str, ...]:
    """Return the ids of all prompt parts but the last, the request's own.

    Callers choose the ids, so long ones and those that look like the id of a
    whole request are replaced by a hash.
    """
    shared = itertools.islice(part_ids, max(0, len(part_ids) - 1))
    return tuple(
        _bounded(part_id)
        for part_id in itertools.islice(shared, MAX_PARTS_PER_CALL)
    )


def _bounded(part_id: str) -> str:
    if len(part_id) <= MAX_PART_ID_LENGTH and not is_whole_request(part_id):
        return part_id
    return xxhash.xxh3_64_hexdigest(part_id.encode())
