"""Stateful test of claims under append faults, pauses and crashes.

Appends can lose their response, arrive late, be written twice or be refused.
"""

import collections
import dataclasses

from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from marigoldhoist.components.claims.models import RequestKey
from marigoldhoist.components.dispatch.stages import Outcome
from marigoldhoist.core.errors import RequestFailure
from marigoldhoist.core.exchange import CallerRequest, CallerResponse
from marigoldhoist.core.verdict import Verdict
from tests.components.claims.hosts import HOUR_MS, Host, request, uuid7_at
from tests.components.log_fakes import AppendOutcome, FakeLog
from tests.machines import state_machine_settings

HOSTS = 3
CLOCK_LAG_MS = 9 * HOUR_MS

hosts = strategies.integers(0, HOSTS - 1)
append_outcomes = strategies.sampled_from(
    (AppendOutcome.CONFIRMED, AppendOutcome.CONFIRMED, *AppendOutcome)
)
picks = strategies.integers(0, 2)
rarely_true = strategies.sampled_from((False, False, True))


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """An in-flight request that its host has admitted."""

    host: Host
    request: CallerRequest


class ClaimMachine(RuleBasedStateMachine):
    """Three hosts and events in any sequence; each request runs at most once.

    The clock of one host lags by hours.
    """

    @initialize()
    def start(self) -> None:
        self.log = FakeLog()
        self.hosts = [
            Host('entry-0', self.log, 0),
            Host('entry-1', self.log, CLOCK_LAG_MS),
            Host('entry-2', self.log, 0),
        ]
        self.request_ids = [uuid7_at(self.log.now_ms, 0)]
        self.admitted: list[Admitted] = []
        self.runs: collections.Counter[str] = collections.Counter()
        self.unsettled: set[str] = set()

    @rule(first=hosts, second=hosts, pick=picks)
    def two_calls_at_once(self, first: int, second: int, pick: int) -> None:
        self.call(first, pick, AppendOutcome.CONFIRMED, False, 0)
        self.call(second, pick, AppendOutcome.CONFIRMED, False, 0)

    @rule(is_wanted=rarely_true)
    def new_request(self, is_wanted: bool) -> None:
        if not is_wanted:
            return
        self.request_ids.append(
            uuid7_at(self.log.now_ms, len(self.request_ids))
        )

    @rule(
        number=hosts,
        pick=picks,
        outcome=append_outcomes,
        is_lagging=rarely_true,
        paused_h=strategies.sampled_from((0, 0, 0, 0, 7)),
    )
    def call(
        self,
        number: int,
        pick: int,
        outcome: AppendOutcome,
        is_lagging: bool,
        paused_h: int,
    ) -> None:
        host = self.hosts[number]
        host.writer.append_outcome = outcome
        host.writer.is_lagging = is_lagging
        host.writer.append_delay_ms = paused_h * HOUR_MS
        sent = request(self.request_ids[-1 - pick % len(self.request_ids)])
        admission = host.stage.admit(sent)
        if admission is None:
            self.admitted.append(Admitted(host, sent))
        else:
            self.check_response(sent.request_id, admission)

    @rule(
        pick=picks,
        verdict=strategies.sampled_from((Verdict.RAN, *Verdict)),
    )
    def dispatch(self, pick: int, verdict: Verdict) -> None:
        call = self.pop_admitted(pick)
        if call is None:
            return
        if verdict is not Verdict.NOT_RUN:
            self.runs[call.request.request_id] += 1
        outcome = Outcome(
            verdict,
            status=200,
            is_whole=verdict is Verdict.RAN,
            body=call.request.request_id.encode(),
        )
        call.host.stage.settle(call.request, outcome)

    @rule(pick=picks, has_run=strategies.booleans())
    def crash(self, pick: int, has_run: bool) -> None:
        call = self.pop_admitted(pick)
        if call is None:
            return
        self.unsettled.add(call.request.request_id)
        self.runs[call.request.request_id] += int(has_run)

    @rule(number=hosts, outcome=append_outcomes)
    def append_unconfirmed(self, number: int, outcome: AppendOutcome) -> None:
        self.hosts[number].writer.append_unconfirmed(outcome)

    @rule(number=hosts)
    def read(self, number: int) -> None:
        self.hosts[number].writer.catch_up()

    @rule()
    def late_appends_arrive(self) -> None:
        self.log.deliver_delayed()

    @rule(hours=strategies.sampled_from((0, 0, 0, 5, 7)))
    def time_passes(self, hours: int) -> None:
        self.log.advance_time(hours * HOUR_MS)

    @invariant()
    def runs_at_most_once(self) -> None:
        assert all(count <= 1 for count in self.runs.values())

    @invariant()
    def folds_agree(self) -> None:
        caught_up = [
            host
            for host in self.hosts
            if host.feed.next_offset == len(self.log.entries)
        ]
        for request_id in self.request_ids:
            key = RequestKey('bench', request_id)
            states = {host.stage.fold.find(key) for host in caught_up}
            assert len(states) <= 1

    def check_response(
        self, request_id: str, response: RequestFailure | CallerResponse
    ) -> None:
        """Check that a recorded answer or the verdict `ran` is true.

        The request must have run exactly once, and the recorded answer must
        be its own. Verdicts other than `ran` are not checked here.
        """
        if isinstance(response, CallerResponse):
            assert b''.join(response.body) == request_id.encode()
            assert self.runs[request_id] == 1
        elif response.verdict is Verdict.RAN:
            assert self.runs[request_id] == 1

    def pop_admitted(self, pick: int) -> Admitted | None:
        """Remove and return an admitted request, None if there is none."""
        if not self.admitted:
            return None
        return self.admitted.pop(pick % len(self.admitted))

    def teardown(self) -> None:
        """Check that a request that never ran can still run."""
        if not hasattr(self, 'log'):
            return
        self.log.deliver_delayed()
        in_flight = {call.request.request_id for call in self.admitted}
        for host in self.hosts:
            host.writer.append_unconfirmed(AppendOutcome.CONFIRMED)
        for request_id in self.request_ids:
            if (
                request_id in in_flight | self.unsettled
                or self.runs[request_id]
            ):
                continue
            self.check_can_run(request_id)

    def check_can_run(self, request_id: str) -> None:
        """Check that the next claim wins unless the request is too old."""
        host = self.hosts[0]
        host.writer.append_outcome = AppendOutcome.CONFIRMED
        host.writer.is_lagging = False
        host.writer.append_delay_ms = 0
        host.writer.catch_up()
        response = host.stage.admit(request(request_id))
        if isinstance(response, RequestFailure):
            assert response.code.value == 'order_too_old'


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = state_machine_settings(300, 30)
