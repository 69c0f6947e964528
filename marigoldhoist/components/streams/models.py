"""Status of the streams component for operators."""

import msgspec


class StreamStatus(msgspec.Struct, frozen=True):
    """Number of streams that are being relayed."""

    open: int
