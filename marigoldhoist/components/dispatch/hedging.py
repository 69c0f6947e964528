"""Race a second try against one whose first token is late."""

import queue
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from marigoldhoist.components.dispatch.errors import TryError
from marigoldhoist.components.upstreams.response import UpstreamResponse
from marigoldhoist.core.errors import RequestFailure

Tried = Result[UpstreamResponse, RequestFailure]
Try = Callable[[], Tried]
Abandon = Callable[[], None]


class Runner:
    """One try on a thread of its own; it can be abandoned."""

    def __init__(
        self, attempt: Try, ended: 'queue.SimpleQueue[Runner]'
    ) -> None:
        self.outcome: Tried | None = None
        self.error: Exception | None = None
        self._attempt = attempt
        self._ended = ended
        self._lock = threading.Lock()
        self._is_abandoned = False
        threading.Thread(target=self._run, name='try', daemon=True).start()

    def abandon(self) -> None:
        """Drop the answer, now or when it comes."""
        with self._lock:
            self._is_abandoned = True
            outcome = self.outcome
        _close(outcome)

    def _run(self) -> None:
        # Whoever waits for the try must hear of its end, also by an error.
        try:
            self._keep(self._attempt())
        except Exception as error:
            self.error = error
        finally:
            self._ended.put(self)

    def _keep(self, outcome: Tried) -> None:
        with self._lock:
            self.outcome = outcome
            is_abandoned = self._is_abandoned
        if is_abandoned:
            _close(outcome)


def race(first: Try, delay_s: float, hedge: Callable[[], Try | None]) -> Tried:
    """Return the first answer of the first try and, after a delay, a hedge.

    The hedge is asked for only when the delay has passed; it may be refused
    with none. The loser is abandoned.
    """
    ended: queue.SimpleQueue[Runner] = queue.SimpleQueue()
    runners = [Runner(first, ended)]
    try:
        return _outcome(ended.get(timeout=delay_s))
    except queue.Empty:
        second = hedge()
    if second is not None:
        runners.append(Runner(second, ended))
    return _first_answer(runners, ended)


def _first_answer(
    runners: list[Runner], ended: 'queue.SimpleQueue[Runner]'
) -> Tried:
    outcomes = []
    for _ in runners:
        runner = ended.get()
        outcome = _outcome(runner)
        outcomes.append(outcome)
        if isinstance(outcome, Ok):
            _abandon_others(runners, runner)
            return outcome
    return outcomes[0]


def _abandon_others(runners: list[Runner], winner: Runner) -> None:
    for runner in runners:
        if runner is not winner:
            runner.abandon()


def _outcome(runner: Runner) -> Tried:
    if runner.outcome is None:
        raise TryError('a try ended without an outcome') from runner.error
    return runner.outcome


def _close(outcome: Tried | None) -> None:
    if outcome is not None and not isinstance(outcome, Err):
        outcome.ok_value.close()
