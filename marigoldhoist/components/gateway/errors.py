"""Errors of the gateway component."""

from marigoldhoist.core.errors import MarigoldhoistError
from marigoldhoist.core.verdict import Verdict


class ConnectionClosedError(MarigoldhoistError):
    """A connection was closed before the message was complete."""

    def __init__(self, reason: str, was_reset: bool = False) -> None:
        super().__init__(reason)
        self.was_reset = was_reset


class MalformedMessageError(MarigoldhoistError):
    """Received bytes are not a valid HTTP message."""


class AttemptError(MarigoldhoistError):
    """A replica gave no deliverable response."""

    def __init__(
        self, reason: str, verdict: Verdict, *, was_sent: bool = True
    ) -> None:
        super().__init__(reason)
        self.reason = reason
        self.verdict = verdict
        self.was_sent = was_sent
