"""Errors of the platform_log component."""

import dataclasses

from marigoldhoist.core.errors import MarigoldhoistError


class LogUnavailableError(MarigoldhoistError):
    """No usable response from the log; the call may have had an effect."""


class LogRefusedError(MarigoldhoistError):
    """The log refused the connection or the call, so it had no effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class AppendUnknown:
    """The outcome of an append is not known.

    Appending the records again under the same ids is safe.
    """

    reason: str
