"""Fold pins from the log; the lowest offset of a generation wins."""

import threading

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.components.sessions.const import PIN_KIND
from marigoldhoist.components.sessions.models import (
    KeptPin,
    KeptPins,
    Pin,
    SessionKey,
)


class PinFold:
    """Pins by session; those unused for the time to live are forgotten.

    Ages are taken from the log's own times, so that all daemons forget
    alike.
    """

    def __init__(self, ttl_ms: int) -> None:
        self._ttl_ms = ttl_ms
        self._lock = threading.Lock()
        self._kept_by_key: dict[SessionKey, KeptPin] = {}
        self.newest_ms = 0

    def __len__(self) -> int:
        """Return how many sessions are pinned."""
        return len(self._kept_by_key)

    def find(self, key: SessionKey) -> Pin | None:
        """Return the session's pin."""
        kept = self._kept_by_key.get(key)
        return kept.pin if kept else None

    def is_aging(self, key: SessionKey) -> bool:
        """Tell whether half of a pin's time is over."""
        kept = self._kept_by_key.get(key)
        return kept is not None and (
            self.newest_ms - kept.touched_ms > self._ttl_ms // 2
        )

    def apply(self, entry: LogEntry) -> SessionKey | None:
        """Fold one entry; return the session that it pins, if any."""
        with self._lock:
            self.newest_ms = max(self.newest_ms, entry.time_ms)
            self._forget_old()
            if entry.record.kind != PIN_KIND:
                return None
            pin = msgspec.json.decode(entry.record.body, type=Pin)
            self._pin(pin)
        return pin.key

    def dump(self) -> msgspec.Raw:
        """Return every pin, for a snapshot."""
        with self._lock:
            kept = tuple(self._kept_by_key.values())
            dumped = KeptPins(self.newest_ms, kept)
        return msgspec.Raw(msgspec.json.encode(dumped))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace every pin by those of a snapshot."""
        kept = msgspec.json.decode(dumped, type=KeptPins)
        with self._lock:
            self.newest_ms = kept.newest_ms
            self._kept_by_key = {one.pin.key: one for one in kept.pins}

    def _pin(self, pin: Pin) -> None:
        current = self.find(pin.key)
        if current is None or pin.follows(current):
            self._put(pin)
        elif _is_same(pin, current):
            self._put(current)

    def _put(self, pin: Pin) -> None:
        self._kept_by_key.pop(pin.key, None)
        self._kept_by_key[pin.key] = KeptPin(pin, self.newest_ms)

    def _forget_old(self) -> None:
        oldest_ms = self.newest_ms - self._ttl_ms
        while self._kept_by_key:
            key = next(iter(self._kept_by_key))
            if self._kept_by_key[key].touched_ms >= oldest_ms:
                return
            self._kept_by_key.pop(key)


def _is_same(pin: Pin, other: Pin) -> bool:
    return (pin.generation, pin.version) == (other.generation, other.version)
