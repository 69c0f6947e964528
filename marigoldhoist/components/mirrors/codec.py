"""gRPC codec of the messages between daemons."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from marigoldhoist.core.decoding import decode_msgpack


class MsgpackCodec(CodecBase):
    """Encodes msgspec structs as MessagePack."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Return the decoded message, or raise msgspec.DecodeError."""
        return decode_msgpack(data, message_type)
