"""Agree with the other daemons on the pin of each session."""

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
    """Exchange of pins with peers."""

    def publish(self, pin: Pin) -> None:
        """Send a pin to all linked peers."""

    def query(self, key: SessionKey) -> tuple[Pin, ...]:
        """Return the session's pins that some of the peers have."""


class PinStore:
    """Hold the logged pins, and the pins that are not on the log yet.

    A logged pin has precedence over an unlogged one, unless the unlogged
    one is the next move after it.
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
        """Return the number of pins that are not on the log yet."""
        return len(self._unlogged_by_key)

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry; drop the unlogged pin that it makes obsolete."""
        key = self.fold.apply(entry)
        if key is not None:
            self.find(key)

    def find(self, key: SessionKey) -> Pin | None:
        """Return the session's pin that has precedence on this daemon.

        Drops the session's unlogged pin if the logged one has precedence.
        """
        logged = self.fold.find(key)
        with self._lock:
            unlogged_pin = self._unlogged_by_key.get(key)
            if unlogged_pin is None or logged is None:
                return logged or unlogged_pin
            if unlogged_pin.follows(logged):
                return unlogged_pin
            self._unlogged_by_key.pop(key)
        return logged

    def propose(self, pin: Pin) -> Pin:
        """Propose a pin and return the pin that wins for its session.

        Waits for the log for at most `pin_timeout_s`. If the log is failing
        or has no winner by then, the peers are queried instead. Only the
        winner is published to the peers.
        """
        winner = self._agree_through_log(pin) or self._agree_through_peers(pin)
        self._gossip.publish(winner)
        return winner

    def ensure_logged(self, pin: Pin) -> None:
        """Write a pin to the log if it is missing there or due for renewal.

        A missing pin is also published again, for peers that were not
        linked when it was created.
        """
        if self.fold.find(pin.key) is None:
            self._gossip.publish(pin)
            self._append(pin)
        elif self.fold.is_renewal_due(pin.key):
            self._append(pin)

    def merge(self, pin: Pin) -> Pin:
        """Merge in a pin that is not on the log; return the one to use."""
        current = self.find(pin.key)
        if current is not None and not self._supersedes(pin, current):
            return current
        if current is not None and not pin.follows(current):
            self._writer.stop_retrying(_record_id(current))
        with self._lock:
            self._unlogged_by_key[pin.key] = pin
            while len(self._unlogged_by_key) > self._settings.max_unlogged:
                self._unlogged_by_key.pop(next(iter(self._unlogged_by_key)))
        return pin

    def _supersedes(self, pin: Pin, current: Pin) -> bool:
        if pin.follows(current):
            return True
        if self.fold.find(pin.key) == current:
            return False
        return _is_earlier(pin, current)

    def _agree_through_log(self, pin: Pin) -> Pin | None:
        if self._writer.is_failing:
            return None
        self._append(pin)
        return self.find(pin.key) if self._wait_for_logged_winner(pin) else None

    def _agree_through_peers(self, pin: Pin) -> Pin:
        reported = [
            peer_pin
            for peer_pin in self._gossip.query(pin.key)
            if peer_pin.generation >= pin.generation
        ]
        if not reported:
            self._append(pin)
            return self.merge(pin)
        self._writer.stop_retrying(_record_id(pin))
        return self.merge(min(reported, key=_proposal_order))

    def _append(self, pin: Pin) -> None:
        self._writer.submit_with_retry(
            new_record(PIN_KIND, pin, _record_id(pin))
        )

    def _wait_for_logged_winner(self, pin: Pin) -> bool:
        """Wait until the fold has a pin of this generation or later.

        Waits for the fold and not for the append's response, because a
        record can reach the log although its response is lost.
        """
        deadline_s = SYSTEM_CLOCK.monotonic_s() + self._settings.pin_timeout_s
        while True:
            position = self._feed.next_offset
            winner = self.fold.find(pin.key)
            if winner is not None and winner.generation >= pin.generation:
                return True
            remaining_s = deadline_s - SYSTEM_CLOCK.monotonic_s()
            if remaining_s <= 0:
                return False
            self._feed.wait_until_folded(position, remaining_s)


def encode_pin(pin: Pin | None) -> bytes:
    """Encode a pin as a peer message, empty for None."""
    return msgspec.msgpack.encode(pin) if pin else b''


def _record_id(pin: Pin) -> str:
    name = '/'.join((pin.workspace, pin.model, pin.session))
    return f'pin-{name}-{pin.generation}-{pin.host}-{pin.proposed_ms}'


def _proposal_order(pin: Pin) -> tuple[int, str]:
    return pin.proposed_ms, pin.host


def _is_earlier(pin: Pin, other: Pin) -> bool:
    if pin.generation != other.generation:
        return False
    return _proposal_order(pin) < _proposal_order(other)
