"""Errors of the feeds component."""

from marigoldhoist.core.errors import MarigoldhoistError


class StoreUnavailableError(MarigoldhoistError):
    """A call was not answered, or the answer leaves its outcome unknown."""


class HistoryLostError(MarigoldhoistError):
    """The records from the reader's offset on are no longer retained."""


class EraChangedError(HistoryLostError):
    """The records are of another era than the reader's offset."""


class ConditionFailedError(MarigoldhoistError):
    """The expected end of an append is not the end of the topic."""
