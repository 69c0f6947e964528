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
from tools.bench.replay.engine import Attempt
from tools.bench.replay.fleet import Fleet
from tools.bench.replay.learner import (
    MODEL,
    PLAN_INTERVAL_S,
    SUMMARY_INTERVAL_S,
    Learner,
)
from tools.bench.replay.policies import OraclePolicy, ReplayPolicy
from tools.bench.replay.scheduler import EventScheduler
from tools.bench.replay.stream import ReplayRequest
from tools.bench.replay.tally import Delivery, Tally
from tools.bench.replay.workload import Workload

# Time after the last arrival for answers to end.
DRAIN_S = 40.0
MAX_ATTEMPTS = 3
COST_UNIT_TOKENS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class QualityDrop:
    """A version whose answers turn bad at a time, to the given share."""

    version: str
    bad_share: float
    start_s: float


@dataclasses.dataclass(slots=True, eq=False)
class RequestProgress:
    """A request that is being answered."""

    request: ReplayRequest
    choice: Choice
    attempts: int = 0
    history: History = ()


class Replay:
    """One run of a request stream against a fleet under one policy."""

    def __init__(
        self,
        workload: Workload,
        policy: ReplayPolicy,
        learner: Learner | None,
        seed: int,
    ) -> None:
        self.scheduler = EventScheduler()
        self.tally = Tally()
        self.quality_drop: QualityDrop | None = None
        self.rng = random.Random(seed)
        self.fleet = Fleet(workload, self.scheduler, policy, self.rng)
        self._workload = workload
        self._policy = policy
        self._learner = learner

    def run(self, stream: list[ReplayRequest]) -> Tally:
        """Replay the stream and return the tally after the drain time."""
        if self._learner is not None:
            self._learner.counted_since_s = 0
            self._learner.answers = 0
            self._learner.replan(0)
            self.scheduler.call_every(SUMMARY_INTERVAL_S, self._merge_summary)
            self.scheduler.call_every(PLAN_INTERVAL_S, self._replan)
        if isinstance(self._policy, OraclePolicy):
            policy = self._policy
            policy.replan(policy.versions)
            self.scheduler.call_every(
                PLAN_INTERVAL_S, lambda: policy.replan(policy.versions)
            )
        for request in stream:
            self.scheduler.run_until(request.time_s)
            self._arrive(request)
        self.scheduler.run_until(stream[-1].time_s + DRAIN_S)
        return self.tally

    def inform_oracle(self, quality_drop: QualityDrop) -> None:
        """Inform a policy with perfect knowledge of the quality drop."""
        if isinstance(self._policy, OraclePolicy):
            self._policy.set_bad_share(
                quality_drop.version, quality_drop.bad_share
            )

    def _arrive(self, request: ReplayRequest) -> None:
        is_measured = self.tally.is_measured(request)
        self.tally.requests += is_measured
        self.fleet.clear_picks()
        choice = self._policy.choose(request.cascade_request, self.fleet.wait_s)
        if choice is None:
            self.tally.refused += is_measured
            return
        self._send(RequestProgress(request, choice))

    def _send(self, progress: RequestProgress) -> None:
        choice = progress.choice
        engine = self.fleet.pick(choice.version)
        progress.attempts += 1
        if engine is None:
            self._fail(progress)
            return
        request = progress.request
        now_s = self.scheduler.now_s
        attempt = Attempt(
            request,
            choice.version,
            engine,
            now_s,
            lambda ended: self._handle_end(progress, ended),
        )
        self.tally.sends += self.tally.is_measured(request)
        if not engine.is_up:
            self._retry(progress)
            return
        attempt.is_committed = choice.is_streamed
        engine.begin(attempt)
        if not attempt.is_committed:
            hold_end_s = max(now_s, request.time_s + choice.hold_s)
            self.scheduler.call_at(
                hold_end_s, lambda: self._end_hold(progress, attempt)
            )

    def _end_hold(self, progress: RequestProgress, attempt: Attempt) -> None:
        """Deliver the held answer, or replace it by another version's.

        Only a first answer is replaced here.
        """
        if attempt.is_finished or attempt.is_committed:
            return
        replacement = None
        if not progress.history:
            self.fleet.clear_picks()
            replacement = self._policy.escalate_late(
                progress.request.cascade_request,
                progress.choice,
                self.scheduler.now_s - progress.request.time_s,
                self.fleet.wait_s,
            )
        if replacement is None:
            attempt.is_committed = True
            return
        self._add_cost(attempt)
        attempt.engine.end(attempt)
        progress.choice = replacement
        self._send(progress)

    def _handle_end(self, progress: RequestProgress, attempt: Attempt) -> None:
        key = self._cell_key(progress, attempt)
        if attempt.is_failed:
            self._count(key, FAILED)
            self._retry(progress)
            return
        self._add_cost(attempt)
        self._observe_times(attempt)
        is_good = self._draw_is_good(attempt)
        doubt = self._draw_doubt(is_good)
        self._count(key, doubt_bin(doubt))
        self._count(key, SUCCEEDED)
        if not attempt.is_committed and self._try_escalate(
            progress, attempt, doubt
        ):
            return
        self._deliver(progress, attempt, is_good)
        self._policy.record_delivery(
            attempt.request.cascade_request,
            _append_to_history(progress.history, attempt.version, doubt),
        )
        if self.rng.random() < self._workload.ratings.share:
            self._schedule_rating(key, doubt, is_good)

    def _try_escalate(
        self, progress: RequestProgress, attempt: Attempt, doubt: float
    ) -> bool:
        """Send the request to another version, if the policy escalates."""
        progress.history = _append_to_history(
            progress.history, attempt.version, doubt
        )
        self.fleet.clear_picks()
        replacement = self._policy.escalate(
            progress.request.cascade_request,
            progress.choice.price,
            progress.history,
            self.scheduler.now_s - progress.request.time_s,
            self.fleet.wait_s,
        )
        if replacement is None:
            return False
        progress.choice = replacement
        self._send(progress)
        return True

    def _retry(self, progress: RequestProgress) -> None:
        self.tally.retries += self.tally.is_measured(progress.request)
        if progress.attempts >= MAX_ATTEMPTS:
            self._fail(progress)
            return
        self.fleet.clear_picks()
        self._send(progress)

    def _fail(self, progress: RequestProgress) -> None:
        self.tally.failed += self.tally.is_measured(progress.request)

    def _deliver(
        self, progress: RequestProgress, attempt: Attempt, is_good: bool
    ) -> None:
        request = progress.request
        first_token_s = attempt.first_token_s
        if not progress.choice.is_streamed:
            hold_end_s = request.time_s + progress.choice.hold_s
            first_token_s = max(
                attempt.first_token_s, min(attempt.end_s, hold_end_s)
            )
        quality_drop = self.quality_drop
        if quality_drop is not None and quality_drop.version == attempt.version:
            self.tally.bad_version_answers += (
                attempt.end_s >= quality_drop.start_s
            )
        self.tally.deliver(
            Delivery(
                request,
                attempt.version,
                is_good,
                first_token_s - request.time_s,
                (attempt.end_s - attempt.first_token_s) / request.tokens,
            )
        )

    def _add_cost(self, attempt: Attempt) -> None:
        if (
            not self.tally.is_measured(attempt.request)
            or not attempt.is_started
        ):
            return
        now_s = self.scheduler.now_s
        length_s = attempt.end_s - attempt.first_token_s
        done_share = min(1, max(0, now_s - attempt.first_token_s) / length_s)
        tokens = attempt.request.tokens * done_share
        cost = attempt.engine.version.cost
        self.tally.cost += cost * tokens / COST_UNIT_TOKENS

    def _draw_is_good(self, attempt: Attempt) -> bool:
        quality_drop = self.quality_drop
        if quality_drop is not None and quality_drop.version == attempt.version:
            has_started = self.scheduler.now_s >= quality_drop.start_s
            if has_started and self.rng.random() < quality_drop.bad_share:
                return False
        version = attempt.engine.version
        chance = (
            version.good_if_easy
            if attempt.request.is_easy
            else version.good_if_hard
        )
        return self.rng.random() < chance

    def _draw_doubt(self, is_good: bool) -> float:
        distributions = self._workload.doubt
        return self.rng.betavariate(
            *(distributions.good if is_good else distributions.bad)
        )

    def _schedule_rating(
        self, key: CellKey, doubt: float, is_good: bool
    ) -> None:
        ratings = self._workload.ratings
        delay_s = self.rng.expovariate(1 / ratings.mean_delay_s)
        is_flipped = self.rng.random() < ratings.flipped
        category = rating_category(doubt, is_good is not is_flipped)
        self.scheduler.call_after(delay_s, lambda: self._count(key, category))

    def _cell_key(self, progress: RequestProgress, attempt: Attempt) -> CellKey:
        previous = progress.history[-1][0] if progress.history else ''
        return CellKey(
            MODEL,
            attempt.request.cascade_request.task,
            attempt.version,
            previous,
            attempt.engine.replica.failure_domain,
        )

    def _count(self, key: CellKey, category: int) -> None:
        if self._learner is not None:
            self._learner.count(key, category)

    def _observe_times(self, attempt: Attempt) -> None:
        times = self.fleet.times_by_version[attempt.version]
        times.observe(
            attempt.first_token_s - attempt.sent_s,
            attempt.end_s - attempt.sent_s,
            attempt.was_queued,
        )

    def _merge_summary(self) -> None:
        if self._learner is None:
            return
        for alarm in self._learner.merge_summary():
            self.fleet.held_versions.add(alarm.version)
            self.tally.alarms.append((self.scheduler.now_s, alarm.version))
            self._learner.replan(self.scheduler.now_s)

    def _replan(self) -> None:
        if self._learner is not None:
            self._learner.replan(self.scheduler.now_s)


def _append_to_history(history: History, version: str, doubt: float) -> History:
    """Append an answer to a history.

    An answer that was appended on its escalation is not added again.
    """
    if history and history[-1][0] == version:
        return history
    return (*history, (version, doubt_bin(doubt)))
