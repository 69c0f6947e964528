"""Errors of the dispatch component."""

from marigoldhoist.core.errors import MarigoldhoistError


class AnswerCutError(MarigoldhoistError):
    """An upstream's answer ended before it was complete."""


class AttemptError(MarigoldhoistError):
    """An attempt raised an exception instead of returning a result."""
