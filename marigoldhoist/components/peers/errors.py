"""Errors of the peers component."""

import dataclasses

from marigoldhoist.core.errors import MarigoldhoistError


class LinkError(MarigoldhoistError):
    """A link broke, went silent or failed authentication."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call to a peer without a reply; the peer may have executed it."""

    reason: str
