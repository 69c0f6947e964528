"""Errors of the platform_log component."""

import dataclasses

from marigoldhoist.core.errors import MarigoldhoistError


class LogUnavailableError(MarigoldhoistError):
    """The log did not answer, so nothing is known of the call."""


class LogRefusedError(MarigoldhoistError):
    """The log answered that it did not take the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """An append whose outcome is not known; the same ids may go again."""

    reason: str
