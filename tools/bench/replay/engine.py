"""A fake of a replica: batches, queues, fails and reports its load late."""

import collections
import dataclasses
from collections.abc import Callable

from marigoldhoist.components.upstreams.models import LoadReport, Replica
from tools.bench.replay.clockwork import Clockwork
from tools.bench.replay.stream import ReplayRequest
from tools.bench.replay.workload import VersionPart, Workload

MS_PER_S = 1000


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """One answer at one replica; times in seconds."""

    request: ReplayRequest
    version: str
    engine: 'FakeEngine'
    sent_s: float
    ended: Callable[['Run'], None]
    first_s: float = 0
    end_s: float = 0
    is_failed: bool = False
    is_over: bool = False
    is_committed: bool = False
    was_queued: bool = False

    @property
    def is_started(self) -> bool:
        """Tell whether the run left the queue."""
        return self.end_s > 0


class FakeEngine:
    """Serves one version.

    The token time is taken from the batch at the start of an answer. What
    deciders see of the load is the last report, which is late, and what
    was sent since.
    """

    def __init__(
        self,
        clockwork: Clockwork,
        workload: Workload,
        version: VersionPart,
        host: str,
        failure_domain: str,
    ) -> None:
        self.version = version
        self.is_up = True
        self.background: float = 0
        self.view = Replica(host, '', 0, failure_domain, (version.name,))
        self._clockwork = clockwork
        self._full = workload.batch_full
        self._limit = workload.batch_limit
        self._running: set[Run] = set()
        self._queue: collections.deque[Run] = collections.deque()
        self._reported = LoadReport(0, workload.batch_full, 0, 0)
        self._replayed_daemons = workload.replayed_daemons

    @property
    def load(self) -> int:
        """Return what runs and waits, the load of other daemons included."""
        own = len(self._running) + len(self._queue)
        return own + round(self.background)

    def report(self) -> None:
        """Show the last report but one, as one of the daemons sees it."""
        self.view.report = self._reported
        self._reported = LoadReport(
            counted_s=self._clockwork.now_s,
            in_flight=self.load,
            own_in_flight=self._own(),
            slots=self._full,
        )

    def begin(self, run: Run) -> None:
        """Take a run; it starts at once or waits for a slot."""
        run.was_queued = self.load >= self._limit
        self._queue.append(run)
        self._fill()
        self.view.in_flight = self._own()

    def end(self, run: Run, is_failed: bool = False) -> None:
        """End a run, and start the next that waits."""
        if run.is_over:
            return
        run.is_over = True
        run.is_failed = is_failed
        self._running.discard(run)
        self._fill()
        self.view.in_flight = self._own()

    def fail(self) -> None:
        """Go down with all that runs and waits."""
        self.is_up = False
        lost = [*self._running, *self._queue]
        self._queue.clear()
        for run in lost:
            self.end(run, is_failed=True)
            run.ended(run)

    def _own(self) -> int:
        own = len(self._running) + len(self._queue)
        return round(own / self._replayed_daemons)

    def _fill(self) -> None:
        slots = self._limit - round(self.background)
        while self._queue and len(self._running) < max(1, slots):
            run = self._queue.popleft()
            if not run.is_over:
                self._start(run)

    def _start(self, run: Run) -> None:
        self._running.add(run)
        batch = len(self._running) + self.background
        slowness = max(1, batch / self._full) / MS_PER_S
        now_s = self._clockwork.now_s
        run.first_s = now_s + self.version.first_token_ms * slowness
        run.end_s = (
            run.first_s + self.version.token_ms * slowness * run.request.tokens
        )
        self._clockwork.at(run.end_s, lambda: self._finish(run))

    def _finish(self, run: Run) -> None:
        if not run.is_over:
            self.end(run)
            run.ended(run)
