"""Prove that frames come from a holder of the shared key."""

import hashlib
import hmac

from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.wire.link_pb2 import Frame


class Seal:
    """Signs outgoing frames and checks incoming ones on one link.

    The session key is derived from both ends' nonces, and frames are
    counted, so that frames of another link or an earlier one do not pass.
    """

    def __init__(self, shared_key: bytes) -> None:
        self._shared_key = shared_key
        self._key = shared_key
        self._sent = 0
        self._received = 0

    def derive(self, dialer_nonce: bytes, listener_nonce: bytes) -> None:
        """Switch to the session key of this link."""
        material = b'session%b%b' % (dialer_nonce, listener_nonce)
        self._key = hmac.digest(self._shared_key, material, hashlib.sha256)

    def sign(self, frame: Frame, direction: bytes) -> Frame:
        """Give a frame its number and signature."""
        self._sent += 1
        frame.sequence = self._sent
        frame.mac = self._mac(frame, direction)
        return frame

    def check(self, frame: Frame, direction: bytes) -> Frame:
        """Return the frame; LinkError if it is forged or out of order."""
        expected = self._mac(frame, direction)
        if not hmac.compare_digest(expected, frame.mac):
            raise LinkError('frame signature does not match')
        if frame.sequence != self._received + 1:
            raise LinkError('frame is out of order')
        self._received = frame.sequence
        return frame

    def _mac(self, frame: Frame, direction: bytes) -> bytes:
        topic = frame.topic.encode()
        head = b'%b|%d|%d|%d|%d|' % (
            direction,
            frame.sequence,
            frame.call_id,
            frame.is_reply,
            len(topic),
        )
        return hmac.digest(
            self._key, head + topic + frame.payload, hashlib.sha256
        )
