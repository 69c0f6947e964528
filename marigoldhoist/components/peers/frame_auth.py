"""Authenticate frames between daemons with the shared key."""

import hashlib
import hmac

from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.wire.link_pb2 import Frame


class FrameAuthenticator:
    """Signs outgoing frames of one link and verifies incoming frames.

    The session key is derived from the nonces of both ends and frames carry
    sequence numbers, so frames replayed from this or another link are
    rejected.
    """

    def __init__(self, shared_key: bytes) -> None:
        self._shared_key = shared_key
        self._key = shared_key
        self._sent = 0
        self._received = 0

    def derive_session_key(
        self, dialer_nonce: bytes, listener_nonce: bytes
    ) -> None:
        """Derive the session key of this link and use it from now on."""
        material = b'session%b%b' % (dialer_nonce, listener_nonce)
        self._key = hmac.digest(self._shared_key, material, hashlib.sha256)

    def sign(self, frame: Frame, direction: bytes) -> Frame:
        """Set the sequence number and signature of a frame."""
        self._sent += 1
        frame.sequence = self._sent
        frame.mac = self._mac(frame, direction)
        return frame

    def verify(self, frame: Frame, direction: bytes) -> Frame:
        """Return the frame, or raise LinkError if it is invalid.

        A frame is invalid if its signature does not match or its sequence
        number is not the next one.
        """
        expected = self._mac(frame, direction)
        if not hmac.compare_digest(expected, frame.mac):
            raise LinkError('frame signature does not match')
        if frame.sequence != self._received + 1:
            raise LinkError('frame is out of order')
        self._received = frame.sequence
        return frame

    def _mac(self, frame: Frame, direction: bytes) -> bytes:
        topic = frame.topic.encode()
        header = b'%b|%d|%d|%d|%d|' % (
            direction,
            frame.sequence,
            frame.call_id,
            frame.is_reply,
            len(topic),
        )
        return hmac.digest(
            self._key, header + topic + frame.payload, hashlib.sha256
        )
