"""Signed tokens that carry a session's pin with its caller."""

import base64
import binascii
import hashlib
import hmac

import msgspec

from marigoldhoist.components.sessions.const import TOKEN_KEY_LABEL
from marigoldhoist.components.sessions.models import Pin, SessionKey

MAC_BYTES = hashlib.sha256().digest_size


class SessionTokens:
    """Issues and reads tokens under a key derived from the peers' key."""

    def __init__(self, shared_key: bytes, ttl_ms: int) -> None:
        self._key = hmac.digest(shared_key, TOKEN_KEY_LABEL, hashlib.sha256)
        self._ttl_ms = ttl_ms

    def issue(self, pin: Pin) -> str:
        """Return the token of a pin."""
        body = msgspec.msgpack.encode(pin)
        mac = hmac.digest(self._key, body, hashlib.sha256)
        return base64.urlsafe_b64encode(mac + body).decode()

    def read(self, token: str, key: SessionKey, now_ms: int) -> Pin | None:
        """Return the pin, none if forged, too old or another session's."""
        try:
            raw = base64.urlsafe_b64decode(token.encode())
        except (binascii.Error, ValueError):
            return None
        body = raw[MAC_BYTES:]
        mac = hmac.digest(self._key, body, hashlib.sha256)
        if not hmac.compare_digest(mac, raw[:MAC_BYTES]):
            return None
        pin = msgspec.msgpack.decode(body, type=Pin)
        is_current = pin.proposed_ms >= now_ms - self._ttl_ms
        return pin if pin.key == key and is_current else None
