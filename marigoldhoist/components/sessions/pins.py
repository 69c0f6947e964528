"""Agree with the other daemons on the pin of a session."""

import threading
from typing import Protocol

import msgspec

from marigoldhoist.components.platform_log.feed import Feed
from marigoldhoist.components.platform_log.models import LogEntry, new_record
from marigoldhoist.components.platform_log.work_writer import RecordWriter
from marigoldhoist.components.sessions.const import PIN_KIND
from marigoldhoist.components.sessions.fold import PinFold
from marigoldhoist.components.sessions.models import Pin, SessionKey
from marigoldhoist.components.sessions.settings import SessionSettings
from marigoldhoist.core.clock import SYSTEM_CLOCK


class PinGossip(Protocol):
    """What pins ask of the peers."""

    def spread(self, pin: Pin) -> None:
        """Send a pin to the linked peers."""

    def ask(self, key: SessionKey) -> tuple[Pin, ...]:
        """Return the pins that a few peers know."""


class Pins:
    """Pins on the log, and those that wait to be written to it.

    A pin on the log beats a waiting one, but for a move that follows it.
    """

    def __init__(
        self,
        settings: SessionSettings,
        feed: Feed,
        writer: RecordWriter,
        gossip: PinGossip,
    ) -> None:
        self._settings = settings
        self._feed = feed
        self._writer = writer
        self._gossip = gossip
        self._lock = threading.Lock()
        self._unlogged_by_key: dict[SessionKey, Pin] = {}
        self.fold = PinFold(settings.ttl_ms)

    @property
    def unlogged(self) -> int:
        """Return how many pins are not on the log yet."""
        return len(self._unlogged_by_key)

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry, and forget the waiting pin that it settles."""
        pinned = self.fold.apply(entry)
        if pinned is not None:
            self.find(pinned)

    def find(self, key: SessionKey) -> Pin | None:
        """Return the session's pin as this daemon knows it."""
        logged = self.fold.find(key)
        with self._lock:
            waiting = self._unlogged_by_key.get(key)
            if waiting is None or logged is None:
                return logged or waiting
            if waiting.follows(logged):
                return waiting
            self._unlogged_by_key.pop(key)
        return logged

    def propose(self, pin: Pin) -> Pin:
        """Return the winner for a session, waiting for it a bounded time.

        While the log does not answer, the peers are asked instead. Nobody
        hears of the proposal before it has won.
        """
        winner = self._settled_by_log(pin) or self._settled_by_peers(pin)
        self._gossip.spread(winner)
        return winner

    def uphold(self, pin: Pin) -> None:
        """Write a pin that is not on the log, or would soon be forgotten.

        Peers that were not linked when the pin was new get it now.
        """
        if self.fold.find(pin.key) is None:
            self._gossip.spread(pin)
            self._write(pin)
        elif self.fold.is_aging(pin.key):
            self._write(pin)

    def learn(self, pin: Pin) -> Pin:
        """Take a pin that is not on the log; return the one to use."""
        known = self.find(pin.key)
        if known is not None and not self._replaces(pin, known):
            return known
        if known is not None and not pin.follows(known):
            self._writer.drop(_record_id(known))
        with self._lock:
            self._unlogged_by_key[pin.key] = pin
            while len(self._unlogged_by_key) > self._settings.max_unlogged:
                self._unlogged_by_key.pop(next(iter(self._unlogged_by_key)))
        return pin

    def _replaces(self, pin: Pin, known: Pin) -> bool:
        if pin.follows(known):
            return True
        if self.fold.find(pin.key) == known:
            return False
        return _is_earlier(pin, known)

    def _settled_by_log(self, pin: Pin) -> Pin | None:
        if self._writer.is_failing:
            return None
        self._write(pin)
        return self.find(pin.key) if self._is_logged(pin) else None

    def _settled_by_peers(self, pin: Pin) -> Pin:
        heard = [
            known
            for known in self._gossip.ask(pin.key)
            if known.generation >= pin.generation
        ]
        if not heard:
            self._write(pin)
            return self.learn(pin)
        self._writer.drop(_record_id(pin))
        return self.learn(min(heard, key=_order_of))

    def _write(self, pin: Pin) -> None:
        self._writer.keep(new_record(PIN_KIND, pin, _record_id(pin)))

    def _is_logged(self, pin: Pin) -> bool:
        """Wait until the fold has a winner, also where no answer came."""
        deadline_s = SYSTEM_CLOCK.monotonic_s() + self._settings.pin_timeout_s
        while True:
            position = self._feed.next_offset
            winner = self.fold.find(pin.key)
            if winner is not None and winner.generation >= pin.generation:
                return True
            left_s = deadline_s - SYSTEM_CLOCK.monotonic_s()
            if left_s <= 0:
                return False
            self._feed.wait_past(position, left_s)


def encode_pin(pin: Pin | None) -> bytes:
    """Return a pin as a peer message, empty for none."""
    return msgspec.msgpack.encode(pin) if pin else b''


def _record_id(pin: Pin) -> str:
    name = '/'.join((pin.workspace, pin.model, pin.session))
    return f'pin-{name}-{pin.generation}-{pin.host}-{pin.proposed_ms}'


def _order_of(pin: Pin) -> tuple[int, str]:
    return pin.proposed_ms, pin.host


def _is_earlier(pin: Pin, other: Pin) -> bool:
    if pin.generation != other.generation:
        return False
    return _order_of(pin) < _order_of(other)
