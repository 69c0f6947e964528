"""Judge new versions together with the other daemons."""

import collections
import itertools
from collections.abc import Callable, Iterable, Iterator
from typing import Final, TypeAlias

import msgspec

from marigoldhoist.components.canary.comparison import (
    AnswerSample,
    VersionJudge,
)
from marigoldhoist.components.canary.const import MOST_TOLD
from marigoldhoist.components.canary.events import (
    EVIDENCE_PASSED_OVER,
    VERSION_FOUND_BAD,
)
from marigoldhoist.components.canary.evidence import (
    DaemonEvidence,
    Evidence,
    complaint,
    pooled,
)
from marigoldhoist.components.canary.models import RollOut
from marigoldhoist.components.mirrors.findings import Findings
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit

# What others found is put together again after this time, not at each answer.
OTHERS_FRESH_S: Final = 0.25


# Returns the positions of sessions under way on versions other than the one
# that is named.
FindUnderWay: TypeAlias = Callable[[str], Iterable[float]]


class _Trial:
    """One roll-out's version, by what this daemon and others have seen."""

    def __init__(
        self,
        roll_out: RollOut,
        judge: VersionJudge,
        findings: Findings,
        find_under_way: FindUnderWay,
        clock: SystemClock,
    ) -> None:
        self.roll_out = roll_out
        self._find_under_way = find_under_way
        self.under_way: set[float] = set()
        self._judge = judge
        self._findings = findings
        self._clock = clock
        self._others: Evidence = []
        self._others_count = 0
        self._others_s = float('-inf')

    def found(self) -> bytes | None:
        """Return what other daemons are told, nothing once all is over."""
        if self.roll_out.state.is_final:
            return None
        known_for_s = self._clock.boottime_s() - self.roll_out.seen_s
        self.under_way.update(self._find_under_way(self.roll_out.order.target))
        told = itertools.islice(self.under_way, MOST_TOLD)
        return msgspec.msgpack.encode(
            DaemonEvidence(known_for_s, self._judge.evidence(), list(told))
        )

    def judge(self) -> None:
        """Hold the new version back once the answers show it to be bad."""
        if self.roll_out.state.is_final or self.roll_out.is_held:
            return
        self._refresh_others()
        reason = complaint(pooled([self._judge.evidence(), self._others]))
        if not reason:
            return
        self.roll_out.is_held = True
        emit(
            VERSION_FOUND_BAD,
            service=self.roll_out.order.service,
            version=self.roll_out.order.target,
            reason=reason,
            other_daemons=self._others_count,
            progress=round(self.roll_out.progress(self._clock.boottime_s()), 3),
        )

    def _refresh_others(self) -> None:
        """Put together what other daemons found; take the earliest order."""
        now_s = self._clock.boottime_s()
        if now_s - self._others_s < OTHERS_FRESH_S:
            return
        self._others_s = now_s
        told = list(self._told_by_others())
        self._others_count = len(told)
        self._others = pooled(one.evidence for one in told)

    def _told_by_others(self) -> Iterator[DaemonEvidence]:
        for heard in self._findings.about(self.roll_out.order.subject):
            try:
                told = msgspec.msgpack.decode(heard.found, type=DaemonEvidence)
            except msgspec.MsgspecError as error:
                emit(EVIDENCE_PASSED_OVER, reason=str(error))
                continue
            ordered_s = heard.found_s - told.known_for_s
            self.roll_out.seen_s = min(self.roll_out.seen_s, ordered_s)
            self.under_way.update(told.under_way)
            yield told


class Verdicts:
    """The roll-outs under way, and the answers of all versions."""

    def __init__(
        self,
        findings: Findings,
        find_under_way: FindUnderWay,
        clock: SystemClock = SYSTEM_CLOCK,
    ) -> None:
        self._findings = findings
        self._find_under_way = find_under_way
        self._clock = clock
        self._judge_by_service: collections.defaultdict[str, VersionJudge] = (
            collections.defaultdict(lambda: VersionJudge(clock.boottime_s))
        )
        self._trial_by_service: dict[str, _Trial] = {}
        findings.on_heard(self._on_heard)

    def begin(self, roll_out: RollOut) -> None:
        """Judge a roll-out's version from now on, in place of an earlier."""
        order = roll_out.order
        earlier = self._trial_by_service.get(order.service)
        if earlier is not None:
            self._findings.withdraw(earlier.roll_out.order.subject)
        judge = self._judge_by_service[order.service]
        judge.begin(order.target)
        trial = _Trial(
            roll_out, judge, self._findings, self._find_under_way, self._clock
        )
        self._trial_by_service[order.service] = trial
        self._findings.share(order.subject, trial.found)
        trial.judge()

    def is_under_way(self, service: str, position: float) -> bool:
        """Tell whether a session is known to use another version."""
        trial = self._trial_by_service.get(service)
        return trial is not None and position in trial.under_way

    def note(self, service: str, version: str, answer: AnswerSample) -> None:
        """Take in an answer; judge the version if it is being rolled out."""
        self._judge_by_service[service].note(version, answer)
        trial = self._trial_by_service.get(service)
        if trial is not None and trial.roll_out.order.target == version:
            trial.judge()

    def _on_heard(self, subject: str) -> None:
        for trial in self._trial_by_service.values():
            if trial.roll_out.order.subject == subject:
                trial.judge()
