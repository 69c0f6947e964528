"""Hedge attempts whose first token is late."""

import queue
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.errors import AttemptError
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.core.errors import RequestFailure

AttemptResult = Result[UpstreamResponse, RequestFailure]
SendAttempt = Callable[[], AttemptResult]
Abandon = Callable[[], None]


class AttemptThread:
    """Runs one attempt on its own thread; it can be abandoned."""

    def __init__(
        self, attempt: SendAttempt, finished: 'queue.SimpleQueue[AttemptThread]'
    ) -> None:
        self.outcome: AttemptResult | None = None
        self.error: Exception | None = None
        self._attempt = attempt
        self._finished = finished
        self._lock = threading.Lock()
        self._is_abandoned = False
        threading.Thread(target=self._run, name='try', daemon=True).start()

    def abandon(self) -> None:
        """Close the answer now, or as soon as it arrives."""
        with self._lock:
            self._is_abandoned = True
            outcome = self.outcome
        _close(outcome)

    def _run(self) -> None:
        # The waiting thread must be notified even if the attempt raises, or
        # it would block forever.
        try:
            self._store_outcome(self._attempt())
        except Exception as error:
            self.error = error
        finally:
            self._finished.put(self)

    def _store_outcome(self, outcome: AttemptResult) -> None:
        with self._lock:
            self.outcome = outcome
            is_abandoned = self._is_abandoned
        if is_abandoned:
            _close(outcome)


def race(
    first: SendAttempt, delay_s: float, hedge: Callable[[], SendAttempt | None]
) -> AttemptResult:
    """Run an attempt, hedge it after a delay, and return the first answer.

    hedge is called only if the first attempt has not finished after delay_s
    seconds, and returns None if no hedge may be sent. The losing attempt is
    abandoned. If both fail, the failure that came first is returned.
    Raises AttemptError if an attempt raised an exception and the other one
    gave no answer.
    """
    finished: queue.SimpleQueue[AttemptThread] = queue.SimpleQueue()
    threads = [AttemptThread(first, finished)]
    try:
        return _outcome(finished.get(timeout=delay_s))
    except queue.Empty:
        second = _hedge_or_abandon(hedge, threads[0])
    if second is not None:
        threads.append(AttemptThread(second, finished))
    return _first_answer(threads, finished)


def _hedge_or_abandon(
    hedge: Callable[[], SendAttempt | None], first: AttemptThread
) -> SendAttempt | None:
    try:
        return hedge()
    except Exception:
        first.abandon()
        raise


def _first_answer(
    threads: list[AttemptThread], finished: 'queue.SimpleQueue[AttemptThread]'
) -> AttemptResult:
    ended: list[AttemptThread] = []
    for _ in threads:
        thread = finished.get()
        if isinstance(thread.outcome, Ok):
            _abandon_others(threads, thread)
            return thread.outcome
        ended.append(thread)
    # An exception goes before a failure: it may hide that a replica ran the
    # request, which the failure of the other attempt would deny.
    ended.sort(key=lambda thread: thread.error is None)
    return _outcome(ended[0])


def _abandon_others(
    threads: list[AttemptThread], winner: AttemptThread
) -> None:
    for thread in threads:
        if thread is not winner:
            thread.abandon()


def _outcome(thread: AttemptThread) -> AttemptResult:
    if thread.outcome is None:
        raise AttemptError(
            'attempt finished without an outcome'
        ) from thread.error
    return thread.outcome


def _close(outcome: AttemptResult | None) -> None:
    if outcome is not None and not isinstance(outcome, Err):
        outcome.ok_value.close()
