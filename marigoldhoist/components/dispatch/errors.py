"""Errors of the dispatch component."""

from marigoldhoist.core.errors import MarigoldhoistError


class AnswerCutError(MarigoldhoistError):
    """An upstream's answer broke off before its end."""


class TryError(MarigoldhoistError):
    """A try ended by an error that is not a failure of its upstream."""
