"""Fold the log's claims and outcomes into the state of each request.

Every daemon folds the same entries and so computes the same holder for a
non-repeatable request: the claim at the lowest offset. An outcome of
`not_run` releases the request, and the next claim becomes the holder.
"""

import dataclasses
import threading

import msgspec

from marigoldhoist.components.claims.const import (
    CLAIM_KIND,
    CLOCK_SKEW_TOLERANCE_MS,
    OUTCOME_KIND,
)
from marigoldhoist.components.claims.events import COVERAGE_SHORT
from marigoldhoist.components.claims.ids import request_time_ms
from marigoldhoist.components.claims.models import (
    ClaimBody,
    ClaimEntry,
    ClaimSnapshot,
    OutcomeBody,
    RequestKey,
)
from marigoldhoist.components.platform_log.models import LogEntry
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.events import emit
from marigoldhoist.core.verdict import Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimState:
    """The claim state of one non-repeatable request.

    `holder` is the id of the winning claim, empty if the request is
    unclaimed. `spent_ids` are the ids of the claims that were folded or
    released; a later copy of such a claim can't win. `touched_ms` is the
    log time of the last claim or outcome.
    """

    holder: str = ''
    outcome: OutcomeBody | None = None
    spent_ids: frozenset[str] = frozenset()
    touched_ms: int = 0


UNCLAIMED = ClaimState()


class ClaimFold:
    """Hold the claim states by request and evict expired ones.

    Ages are computed from the timestamps in the log, so that a daemon with
    a wrong clock computes the same states as the others.
    """

    def __init__(self, window_ms: int) -> None:
        self._window_ms = window_ms
        self._lock = threading.Lock()
        self._state_by_key: dict[RequestKey, ClaimState] = {}
        self._next_offset = 0
        # The newest log time in ms.
        self.newest_ms = 0
        # All claims logged since this time in ms were folded; 0 if no entry
        # of the log was missed.
        self.covered_from_ms = 0

    def __len__(self) -> int:
        """Return the number of requests with a state."""
        return len(self._state_by_key)

    def find(self, key: RequestKey) -> ClaimState:
        """Return a request's state; an unknown request is unclaimed."""
        return self._state_by_key.get(key, UNCLAIMED)

    def covers(self, request_ms: int) -> bool:
        """Return whether all earlier claims of a request were folded.

        The request's id is timestamped `request_ms`. Its first claim is
        logged at most twice the clock skew tolerance before that time.
        """
        earliest_claim_ms = request_ms - 2 * CLOCK_SKEW_TOLERANCE_MS
        return not self.covered_from_ms or (
            earliest_claim_ms >= self.covered_from_ms
        )

    def apply(self, entry: LogEntry) -> None:
        """Fold one entry of the work stream."""
        with self._lock:
            self._track_position(entry)
            if entry.record.kind == CLAIM_KIND:
                self._apply_claim(entry)
            elif entry.record.kind == OUTCOME_KIND:
                self._apply_outcome(entry)
            self._evict_expired()

    def dump(self) -> msgspec.Raw:
        """Return the whole state, encoded for a snapshot."""
        with self._lock:
            entries = tuple(
                _entry_of(key, state)
                for key, state in self._state_by_key.items()
            )
            snapshot = ClaimSnapshot(
                self.covered_from_ms,
                self.newest_ms,
                self._next_offset,
                entries,
            )
        return msgspec.Raw(msgspec.json.encode(snapshot))

    def restore(self, dumped: msgspec.Raw) -> None:
        """Replace the whole state with that of a snapshot."""
        snapshot = decode_json(dumped, ClaimSnapshot)
        with self._lock:
            self._next_offset = snapshot.next_offset
            self.newest_ms = snapshot.newest_ms
            self.covered_from_ms = snapshot.covered_from_ms
            self._state_by_key = {
                RequestKey(entry.workspace, entry.request_id): _state_of(entry)
                for entry in snapshot.orders
            }

    def _track_position(self, entry: LogEntry) -> None:
        if entry.offset != self._next_offset:
            self.covered_from_ms = entry.time_ms
            emit(COVERAGE_SHORT, offset=entry.offset)
        self._next_offset = entry.offset + 1
        self.newest_ms = max(self.newest_ms, entry.time_ms)

    def _apply_claim(self, entry: LogEntry) -> None:
        body = decode_json(entry.record.body, ClaimBody)
        key = RequestKey(body.workspace, body.request_id)
        state = self.find(key)
        claim_id = entry.record.id
        if claim_id in state.spent_ids:
            return
        wins = not state.holder and self._is_in_window(key)
        self._put(
            key,
            dataclasses.replace(
                state,
                holder=claim_id if wins else state.holder,
                spent_ids=state.spent_ids | {claim_id},
            ),
        )

    def _apply_outcome(self, entry: LogEntry) -> None:
        body = decode_json(entry.record.body, OutcomeBody)
        key = RequestKey(body.workspace, body.request_id)
        state = self.find(key)
        # A released claim whose append is delayed must not win later.
        spent_ids = state.spent_ids | {body.claim_id}
        updated = dataclasses.replace(state, spent_ids=spent_ids)
        if body.claim_id == state.holder:
            updated = _with_outcome(updated, body)
        self._put(key, updated)

    def _put(self, key: RequestKey, state: ClaimState) -> None:
        # Reinserting keeps the dict ordered by touched_ms.
        self._state_by_key.pop(key, None)
        self._state_by_key[key] = dataclasses.replace(
            state, touched_ms=self.newest_ms
        )

    def _is_in_window(self, key: RequestKey) -> bool:
        request_ms = request_time_ms(key.request_id)
        return request_ms is not None and (
            request_ms >= self.newest_ms - self._window_ms
        )

    def _evict_expired(self) -> None:
        retention_ms = self._window_ms + 2 * CLOCK_SKEW_TOLERANCE_MS
        oldest_ms = self.newest_ms - retention_ms
        while self._state_by_key:
            key = next(iter(self._state_by_key))
            if self._state_by_key[key].touched_ms >= oldest_ms:
                return
            self._state_by_key.pop(key)


def _with_outcome(state: ClaimState, body: OutcomeBody) -> ClaimState:
    previous = state.outcome
    if previous is not None and previous.verdict is Verdict.RAN:
        return state
    if body.verdict is not Verdict.NOT_RUN:
        return dataclasses.replace(state, outcome=body)
    if previous is not None:
        return state
    return dataclasses.replace(state, holder='')


def _entry_of(key: RequestKey, state: ClaimState) -> ClaimEntry:
    return ClaimEntry(
        key.workspace,
        key.request_id,
        state.holder,
        state.outcome,
        tuple(sorted(state.spent_ids)),
        state.touched_ms,
    )


def _state_of(entry: ClaimEntry) -> ClaimState:
    return ClaimState(
        entry.holder,
        entry.outcome,
        frozenset(entry.spent_ids),
        entry.touched_ms,
    )
