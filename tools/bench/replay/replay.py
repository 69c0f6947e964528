"""Replay a stream of requests under one policy."""

import dataclasses
import random

from marigoldhoist.components.quality.cells import (
    CellKey,
    doubt_bin,
    rating_category,
)
from marigoldhoist.components.quality.const import FAILED, SUCCEEDED
from marigoldhoist.components.routing.cascades import Choice
from marigoldhoist.components.routing.plans import History
from tools.bench.replay.clockwork import Clockwork
from tools.bench.replay.contenders import BoundContender, Contender
from tools.bench.replay.engine import Run
from tools.bench.replay.fleet import Fleet
from tools.bench.replay.learner import (
    MODEL,
    PLAN_INTERVAL_S,
    SHARE_INTERVAL_S,
    Learner,
)
from tools.bench.replay.stream import ReplayRequest
from tools.bench.replay.tally import Delivery, Tally
from tools.bench.replay.workload import Workload

DRAIN_S = 40.0
MAX_TRIES = 3
TOKENS_PER_COST = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class BadTurn:
    """A version of which a share of the answers is bad from a time on."""

    version: str
    share: float
    at_s: float


@dataclasses.dataclass(slots=True, eq=False)
class Passage:
    """One request on its way."""

    request: ReplayRequest
    choice: Choice
    tries: int = 0
    history: History = ()


class Replay:
    """One run: a workload, a stream, a policy and what goes wrong."""

    def __init__(
        self,
        workload: Workload,
        contender: Contender,
        learner: Learner | None,
        seed: int,
    ) -> None:
        self.clockwork = Clockwork()
        self.tally = Tally()
        self.turn: BadTurn | None = None
        self.rng = random.Random(seed)
        self.fleet = Fleet(workload, self.clockwork, contender, self.rng)
        self._workload = workload
        self._contender = contender
        self._learner = learner

    def run(self, stream: list[ReplayRequest]) -> Tally:
        """Replay the stream and wait for its answers."""
        if self._learner is not None:
            self._learner.since_s = 0
            self._learner.answers = 0
            self._learner.plan(0)
            self.clockwork.every(SHARE_INTERVAL_S, self._share)
            self.clockwork.every(PLAN_INTERVAL_S, self._plan)
        if isinstance(self._contender, BoundContender):
            contender = self._contender
            contender.replan(contender.versions)
            self.clockwork.every(
                PLAN_INTERVAL_S, lambda: contender.replan(contender.versions)
            )
        for request in stream:
            self.clockwork.run_until(request.time_s)
            self._arrive(request)
        self.clockwork.run_until(stream[-1].time_s + DRAIN_S)
        return self.tally

    def tell(self, turn: BadTurn) -> None:
        """Let perfect knowledge know which version turned bad."""
        if isinstance(self._contender, BoundContender):
            self._contender.learn(turn.version, turn.share)

    def _arrive(self, request: ReplayRequest) -> None:
        counted = self.tally.is_counted(request)
        self.tally.requests += counted
        self.fleet.forget_picks()
        choice = self._contender.choose(request.ask, self.fleet.wait_s)
        if choice is None:
            self.tally.refused += counted
            return
        self._send(Passage(request, choice))

    def _send(self, passage: Passage) -> None:
        choice = passage.choice
        engine = self.fleet.pick(choice.version)
        passage.tries += 1
        if engine is None:
            self._fail(passage)
            return
        request = passage.request
        now_s = self.clockwork.now_s
        run = Run(
            request,
            choice.version,
            engine,
            now_s,
            lambda ended: self._ended(passage, ended),
        )
        self.tally.sends += self.tally.is_counted(request)
        if not engine.is_up:
            self._try_again(passage)
            return
        run.is_committed = choice.is_streamed
        engine.begin(run)
        if not run.is_committed:
            hold_s = max(now_s, request.time_s + choice.hold_s)
            self.clockwork.at(hold_s, lambda: self._hold_over(passage, run))

    def _hold_over(self, passage: Passage, run: Run) -> None:
        """Deliver what there is, or change to another version, in time."""
        if run.is_over or run.is_committed:
            return
        following = None
        if not passage.history:
            self.fleet.forget_picks()
            following = self._contender.escalate_late(
                passage.request.ask,
                passage.choice,
                self.clockwork.now_s - passage.request.time_s,
                self.fleet.wait_s,
            )
        if following is None:
            run.is_committed = True
            return
        self._charge(run)
        run.engine.end(run)
        passage.choice = following
        self._send(passage)

    def _ended(self, passage: Passage, run: Run) -> None:
        key = self._key(passage, run)
        if run.is_failed:
            self._note(key, FAILED)
            self._try_again(passage)
            return
        self._charge(run)
        self._observe_times(run)
        is_good = self._is_good(run)
        doubt = self._doubt(is_good)
        self._note(key, doubt_bin(doubt))
        self._note(key, SUCCEEDED)
        if not run.is_committed and self._goes_on(passage, run, doubt):
            return
        self._deliver(passage, run, is_good)
        self._contender.record_delivery(
            run.request.ask, _with(passage.history, run.version, doubt)
        )
        if self.rng.random() < self._workload.ratings.share:
            self._rate(key, doubt, is_good)

    def _goes_on(self, passage: Passage, run: Run, doubt: float) -> bool:
        passage.history = _with(passage.history, run.version, doubt)
        self.fleet.forget_picks()
        following = self._contender.escalate(
            passage.request.ask,
            passage.choice.price,
            passage.history,
            self.clockwork.now_s - passage.request.time_s,
            self.fleet.wait_s,
        )
        if following is None:
            return False
        passage.choice = following
        self._send(passage)
        return True

    def _try_again(self, passage: Passage) -> None:
        self.tally.retries += self.tally.is_counted(passage.request)
        if passage.tries >= MAX_TRIES:
            self._fail(passage)
            return
        self.fleet.forget_picks()
        self._send(passage)

    def _fail(self, passage: Passage) -> None:
        self.tally.failed += self.tally.is_counted(passage.request)

    def _deliver(self, passage: Passage, run: Run, is_good: bool) -> None:
        request = passage.request
        first_s = run.first_s
        if not passage.choice.is_streamed:
            held_s = request.time_s + passage.choice.hold_s
            first_s = max(run.first_s, min(run.end_s, held_s))
        turn = self.turn
        if turn is not None and turn.version == run.version:
            self.tally.from_bad += run.end_s >= turn.at_s
        self.tally.deliver(
            Delivery(
                request,
                run.version,
                is_good,
                first_s - request.time_s,
                (run.end_s - run.first_s) / request.tokens,
            )
        )

    def _charge(self, run: Run) -> None:
        if not self.tally.is_counted(run.request) or not run.is_started:
            return
        now_s = self.clockwork.now_s
        length_s = run.end_s - run.first_s
        done = min(1, max(0, now_s - run.first_s) / length_s)
        tokens = run.request.tokens * done
        cost = run.engine.version.cost
        self.tally.cost += cost * tokens / TOKENS_PER_COST

    def _is_good(self, run: Run) -> bool:
        turn = self.turn
        if turn is not None and turn.version == run.version:
            is_past = self.clockwork.now_s >= turn.at_s
            if is_past and self.rng.random() < turn.share:
                return False
        version = run.engine.version
        chance = (
            version.good_if_easy
            if run.request.is_easy
            else version.good_if_hard
        )
        return self.rng.random() < chance

    def _doubt(self, is_good: bool) -> float:
        doubts = self._workload.doubt
        return self.rng.betavariate(*(doubts.good if is_good else doubts.bad))

    def _rate(self, key: CellKey, doubt: float, is_good: bool) -> None:
        ratings = self._workload.ratings
        delay_s = self.rng.expovariate(1 / ratings.mean_delay_s)
        is_flipped = self.rng.random() < ratings.flipped
        category = rating_category(doubt, is_good is not is_flipped)
        self.clockwork.after(delay_s, lambda: self._note(key, category))

    def _key(self, passage: Passage, run: Run) -> CellKey:
        after = passage.history[-1][0] if passage.history else ''
        return CellKey(
            MODEL,
            run.request.ask.task,
            run.version,
            after,
            run.engine.view.failure_domain,
        )

    def _note(self, key: CellKey, category: int) -> None:
        if self._learner is not None:
            self._learner.note(key, category)

    def _observe_times(self, run: Run) -> None:
        times = self.fleet.times_by_version[run.version]
        times.observe(
            run.first_s - run.sent_s, run.end_s - run.sent_s, run.was_queued
        )

    def _share(self) -> None:
        if self._learner is None:
            return
        for alarm in self._learner.share():
            self.fleet.held.add(alarm.version)
            self.tally.alarms.append((self.clockwork.now_s, alarm.version))
            self._learner.plan(self.clockwork.now_s)

    def _plan(self) -> None:
        if self._learner is not None:
            self._learner.plan(self.clockwork.now_s)


def _with(history: History, version: str, doubt: float) -> History:
    """Return the history that ends with this answer, told once."""
    if history and history[-1][0] == version:
        return history
    return (*history, (version, doubt_bin(doubt)))
