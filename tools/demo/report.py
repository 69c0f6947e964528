"""Check the guarantees from the callers' and the fake servers' records."""

import collections
import dataclasses
from collections.abc import Iterable

import msgspec

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.hosts.models import HostRole
from marigoldhoist.components.platform_log.const import BILL_STREAM
from tools.demo.const import (
    MAX_CHANGE_DELAY_S,
    MIN_ANSWERED_SHARE,
    MODEL,
    WITHDRAWN_VERSION,
)
from tools.demo.load import SentRequest
from tools.demo.plan import Plan
from tools.demo.platform import PlatformClient

CHAT_KINDS = frozenset(('chat', 'session'))


class Report(msgspec.Struct):
    """The demo's results; most fields are numbers of requests.

    `crossed` counts answers that belong to another request. `wrong_version`
    counts answers whose reported version did not serve the request, and
    requests that a version forbidden to their workspace served.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    may_have_run: int = 0
    lost: int = 0
    crossed: int = 0
    wrong_version: int = 0
    unbilled: int = 0
    billed_twice: int = 0
    orders_run_twice: int = 0
    sessions_moved: int = 0
    sessions_moved_uncalled_for: int = 0
    change_in_force_s_max: float = 0
    new_work_after_withdraw_s: float = 0
    planned_stop_exit_code: int = 0

    def broken_guarantees(self) -> list[str]:
        """Return a message for each broken guarantee."""
        violations = [
            f'{name} is {getattr(self, name)}, not 0'
            for name in (
                'lost',
                'crossed',
                'wrong_version',
                'unbilled',
                'billed_twice',
                'orders_run_twice',
                'sessions_moved_uncalled_for',
                'planned_stop_exit_code',
            )
            if getattr(self, name)
        ]
        if self.answered < MIN_ANSWERED_SHARE * self.requests:
            violations.append(
                f'only {self.answered} of {self.requests} answered'
            )
        if self.change_in_force_s_max > MAX_CHANGE_DELAY_S:
            violations.append('a change took over 4 s to take effect')
        if self.new_work_after_withdraw_s > MAX_CHANGE_DELAY_S:
            violations.append('a withdrawn version got requests after 4 s')
        return violations


@dataclasses.dataclass(frozen=True, slots=True)
class EngineRequest:
    """A request that an engine accepted, at a Unix time."""

    time_s: float
    serving: str


class ReportBuilder:
    """Builds the report from the fake servers' records after the run."""

    def __init__(self, plan: Plan, platform: PlatformClient) -> None:
        self._plan = plan
        self._platform = platform
        self._served_by_id = self._read_engines()

    def build(self, sent: list[SentRequest], withdrawn_s: float) -> Report:
        """Return the report; `withdrawn_s` is the Unix time of the change."""
        report = Report(requests=len(sent))
        outcomes = collections.Counter(request.outcome for request in sent)
        report.answered = outcomes['answered']
        report.not_run = outcomes['not_run']
        report.may_have_run = outcomes['may_have_run']
        report.lost = outcomes['lost']
        report.crossed = sum(not request.is_own_answer for request in sent)
        report.wrong_version = sum(map(self._has_wrong_version, sent))
        report.orders_run_twice = self._orders_run_twice(sent)
        report.new_work_after_withdraw_s = self._last_use_after_s(withdrawn_s)
        self._count_bills(sent, report)
        self._count_sessions(sent, report)
        return report

    def unbilled(self, sent: Iterable[SentRequest]) -> int:
        """Return the number of answered model requests without a bill."""
        billed = {
            (bill.workspace, bill.request_id) for bill in self._bills().values()
        }
        return sum(
            (request.workspace, request.request_id) not in billed
            for request in sent
            if request.kind in CHAT_KINDS and request.outcome == 'answered'
        )

    def _read_engines(self) -> dict[str, list[EngineRequest]]:
        served_by_id: dict[str, list[EngineRequest]] = collections.defaultdict(
            list
        )
        for engine in self._plan.with_role(HostRole.ENGINE):
            for row in self._platform.fetch(engine, '/served'):
                served_by_id[row['request_id']].append(
                    EngineRequest(row['time_s'], row['serving'])
                )
        return served_by_id

    def _bills(self) -> dict[str, Bill]:
        """Return the bills by record id; a repeated append counts once."""
        return {
            entry.record.id: msgspec.json.decode(entry.record.body, type=Bill)
            for entry in self._platform.entries(BILL_STREAM)
        }

    def _has_wrong_version(self, request: SentRequest) -> bool:
        if request.kind not in CHAT_KINDS or request.outcome != 'answered':
            return False
        servings = [
            served.serving for served in self._served_by_id[request.request_id]
        ]
        is_forbidden = (
            request.workspace == 'valves' and f'{MODEL}/large' in servings
        )
        return is_forbidden or request.served_version not in servings

    def _count_bills(self, sent: list[SentRequest], report: Report) -> None:
        report.unbilled = self.unbilled(sent)
        copies = collections.Counter(
            (bill.workspace, bill.request_id) for bill in self._bills().values()
        )
        report.billed_twice = sum(count > 1 for count in copies.values())

    def _orders_run_twice(self, sent: list[SentRequest]) -> int:
        orders = {
            request.request_id for request in sent if request.kind == 'order'
        }
        runs = collections.Counter(
            call['request_id']
            for service in self._plan.with_role(HostRole.SERVICE)
            for call in self._platform.fetch(service, '/calls')
            if call['request_id'] in orders
        )
        return sum(count > 1 for count in runs.values())

    def _last_use_after_s(self, withdrawn_s: float) -> float:
        times_s = [
            served.time_s
            for all_served in self._served_by_id.values()
            for served in all_served
            if served.serving == f'{MODEL}/{WITHDRAWN_VERSION}'
        ]
        return max(0, max(times_s, default=0) - withdrawn_s)

    def _count_sessions(self, sent: list[SentRequest], report: Report) -> None:
        servings_by_session: dict[str, list[str]] = {}
        answered = [
            request for request in sent if request.outcome == 'answered'
        ]
        for request in sorted(answered, key=lambda each: each.ended_s):
            if request.session:
                name = f'{request.workspace}/{request.session}'
                servings_by_session.setdefault(name, []).append(
                    request.served_version
                )
        for servings in servings_by_session.values():
            distinct = list(dict.fromkeys(servings))
            report.sessions_moved += len(distinct) > 1
            was_withdrawn = distinct[0] == f'{MODEL}/{WITHDRAWN_VERSION}'
            max_versions = 2 if was_withdrawn else 1
            report.sessions_moved_uncalled_for += len(distinct) > max_versions
