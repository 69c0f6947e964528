"""The interface by which states and rejections become records of the store."""

from typing import Protocol

from marigoldhoist.components.canary.models import RollOutStatus
from marigoldhoist.components.canary.rejections import Rejection


class StatusCodec(Protocol):
    """Encodes the records of the topic of states, with their keys."""

    def encode_status(self, status: RollOutStatus) -> tuple[str, bytes]:
        """Return the key and the value of a state."""

    def encode_rejection(self, rejection: Rejection) -> tuple[str, bytes]:
        """Return the key and the value of a rejection."""
