"""Errors of the peers component."""

import dataclasses

from marigoldhoist.core.errors import MarigoldhoistError


class LinkError(MarigoldhoistError):
    """A link broke, went silent, or its other end failed to prove its key."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call to a peer got no reply; the peer may have acted on it."""

    reason: str
