"""Errors of the streams component."""

from marigoldhoist.core.errors import MarigoldhoistError


class StreamError(MarigoldhoistError):
    """A stream can't go on."""


class UpstreamCutError(StreamError):
    """The upstream closed, reset or broke the framing of its answer."""


class UpstreamSilentError(StreamError):
    """The upstream sent nothing until the no-progress deadline."""


class CallerGoneError(StreamError):
    """The caller closed its connection or stopped reading."""
