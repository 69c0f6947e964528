"""Signed tokens that carry a session's pin in the caller's requests."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from marigoldhoist.components.sessions.const import TOKEN_KEY_LABEL
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.core.decoding import decode_msgpack

MAC_LENGTH_BYTES = hashlib.sha256().digest_size


class SessionTokens:
    """Issue and verify tokens with a key derived from the peers' key."""

    def __init__(self, shared_key: bytes, ttl_ms: int) -> None:
        self._key = hmac.digest(shared_key, TOKEN_KEY_LABEL, hashlib.sha256)
        self._ttl_ms = ttl_ms

    def issue(self, pin: Pin) -> str:
        """Return the signed token for a pin."""
        body = msgspec.msgpack.encode(pin)
        mac = hmac.digest(self._key, body, hashlib.sha256)
        return base64.urlsafe_b64encode(mac + body).decode()

    def read(self, token: str, key: SessionKey, now_ms: int) -> Pin | None:
        """Return the pin in a token, or None if the token is not valid.

        A token is not valid if it is malformed, its signature doesn't match,
        its pin is older than the time to live or it is of another session.
        """
        try:
            decoded = base64.urlsafe_b64decode(token.encode())
        except (binascii.Error, ValueError):
            return None
        body = decoded[MAC_LENGTH_BYTES:]
        mac = hmac.digest(self._key, body, hashlib.sha256)
        if not hmac.compare_digest(mac, decoded[:MAC_LENGTH_BYTES]):
            return None
        pin = decode_msgpack(body, Pin)
        is_current = pin.proposed_ms >= now_ms - self._ttl_ms
        return pin if pin.key == key and is_current else None
