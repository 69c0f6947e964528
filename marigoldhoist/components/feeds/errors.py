"""Errors of the feeds component."""

from marigoldhoist.core.errors import MarigoldhoistError


class StoreUnavailableError(MarigoldhoistError):
    """The store gave no answer, or one that promises nothing."""


class HistoryLostError(MarigoldhoistError):
    """The records after the reader's offset are no longer kept."""


class ConditionFailedError(MarigoldhoistError):
    """An append named an end that the topic no longer has."""
