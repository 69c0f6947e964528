"""Fold the log's pin records into the current pin of each session.

Of several pins of one generation, the one at the lowest offset wins.
"""

import threading

import msgspec

from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.components.sessions.const import PIN_KIND
from marigoldhoist.components.sessions.models import (
    Pin,
    PinEntry,
    PinSnapshot,
    SessionKey,
)
from marigoldhoist.core.decoding import decode_json


class PinFold:
    """Hold the logged pins by session and evict expired ones.

    A pin expires when no record has set or renewed it for the time to live.
    Ages are computed from the timestamps in the log, so that all daemons
    evict the same pins.
    """

    def __init__(self, ttl_ms: int) -> None:
        self._ttl_ms = ttl_ms
        self._lock = threading.Lock()
        self._entry_by_key: dict[SessionKey, PinEntry] = {}
        self.newest_ms = 0

    def __len__(self) -> int:
        """Return the number of sessions with a pin on the log."""
        return len(self._entry_by_key)

    def find(self, key: SessionKey) -> Pin | None:
        """Return the session's pin, or None if there is none."""
        entry = self._entry_by_key.get(key)
        return entry.pin if entry else None

    def is_renewal_due(self, key: SessionKey) -> bool:
        """Return whether over half of a pin's time to live has passed."""
        entry = self._entry_by_key.get(key)
        return entry is not None and (
            self.newest_ms - entry.touched_ms > self._ttl_ms // 2
        )

    def apply(self, entry: LogEntry) -> SessionKey | None:
        """Fold one entry; return its session if it is a pin record."""
        with self._lock:
            self.newest_ms = max(self.newest_ms, entry.time_ms)
            self._evict_expired()
            if entry.record.kind != PIN_KIND:
                return None
            pin = decode_json(entry.record.body, Pin)
            self._apply_pin(pin)
        return pin.key

    def dump(self) -> msgspec.Raw:
        """Return every pin, encoded for a snapshot."""
        with self._lock:
            entries = tuple(self._entry_by_key.values())
            snapshot = PinSnapshot(self.newest_ms, entries)
        return msgspec.Raw(msgspec.json.encode(snapshot))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace all pins with those of a snapshot."""
        snapshot = decode_json(dumped, PinSnapshot)
        with self._lock:
            self.newest_ms = snapshot.newest_ms
            self._entry_by_key = {
                entry.pin.key: entry for entry in snapshot.pins
            }

    def _apply_pin(self, pin: Pin) -> None:
        current = self.find(pin.key)
        if current is None or pin.follows(current):
            self._put(pin)
        elif _is_same_version(pin, current):
            self._put(current)

    def _put(self, pin: Pin) -> None:
        # Reinserting keeps the dict ordered by touched_ms.
        self._entry_by_key.pop(pin.key, None)
        self._entry_by_key[pin.key] = PinEntry(pin, self.newest_ms)

    def _evict_expired(self) -> None:
        oldest_ms = self.newest_ms - self._ttl_ms
        while self._entry_by_key:
            key = next(iter(self._entry_by_key))
            if self._entry_by_key[key].touched_ms >= oldest_ms:
                return
            self._entry_by_key.pop(key)


def _is_same_version(pin: Pin, other: Pin) -> bool:
    return (pin.generation, pin.version) == (other.generation, other.version)
