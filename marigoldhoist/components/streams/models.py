"""Answers to operators about streams."""

import msgspec


class StreamStatus(msgspec.Struct, frozen=True):
    """Streams that are copied now."""

    open: int
