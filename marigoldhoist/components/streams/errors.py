"""Errors of the streams component."""

from marigoldhoist.core.errors import MarigoldhoistError


class StreamError(MarigoldhoistError):
    """A stream can't go on."""


class UpstreamCutError(StreamError):
    """The upstream closed, reset or broke the framing of its answer."""


class UpstreamStalledError(StreamError):
    """The upstream sent nothing until the no-progress deadline."""


class CallerDisconnectedError(StreamError):
    """The caller closed its connection or stopped reading."""
