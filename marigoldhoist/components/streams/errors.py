"""Errors of the streams component."""

from marigoldhoist.core.errors import MarigoldhoistError


class StreamError(MarigoldhoistError):
    """Base class of errors that end a stream early."""


class UpstreamCutError(StreamError):
    """The upstream closed or reset the connection or sent invalid framing."""


class UpstreamStalledError(StreamError):
    """The upstream sent nothing until the no-progress timeout."""


class CallerDisconnectedError(StreamError):
    """The caller closed its connection or stopped reading."""
