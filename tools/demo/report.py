"""Count the promises at the stand-ins and the callers."""

import collections
import dataclasses
from collections.abc import Iterable

import msgspec

from marigoldhoist.components.billing.models import Bill
from marigoldhoist.components.hosts.models import HostRole
from marigoldhoist.components.platform_log.const import BILL_STREAM
from tools.demo.const import (
    MAX_IN_FORCE_S,
    MIN_ANSWERED_SHARE,
    MODEL,
    WITHDRAWN,
)
from tools.demo.load import Sent
from tools.demo.plan import Plan
from tools.demo.platform import PlatformClient

CHAT_KINDS = frozenset(('chat', 'session'))


class Report(msgspec.Struct):
    """The demo's figures."""

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

    def broken_promises(self) -> list[str]:
        """Return a sentence for each promise that was broken."""
        faults = [
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
            faults.append(f'only {self.answered} of {self.requests} answered')
        if self.change_in_force_s_max > MAX_IN_FORCE_S:
            faults.append('a change took over 4 s to be in force')
        if self.new_work_after_withdraw_s > MAX_IN_FORCE_S:
            faults.append('a withdrawn version got work after 4 s')
        return faults


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """One request that an engine was given."""

    time_s: float
    serving: str


class Counter:
    """Reads the stand-ins after the run."""

    def __init__(self, plan: Plan, platform: PlatformClient) -> None:
        self._plan = plan
        self._platform = platform
        self._served_by_id = self._read_engines()

    def count(self, sent: list[Sent], withdrawn_s: float) -> Report:
        """Return the figures."""
        report = Report(requests=len(sent))
        outcomes = collections.Counter(one.outcome for one in sent)
        report.answered = outcomes['answered']
        report.not_run = outcomes['not_run']
        report.may_have_run = outcomes['may_have_run']
        report.lost = outcomes['lost']
        report.crossed = sum(not one.is_own_answer for one in sent)
        report.wrong_version = sum(map(self._is_wrong, sent))
        report.orders_run_twice = self._orders_run_twice(sent)
        report.new_work_after_withdraw_s = self._late_work_s(withdrawn_s)
        self._count_bills(sent, report)
        self._count_sessions(sent, report)
        return report

    def unbilled(self, sent: Iterable[Sent]) -> int:
        """Return how many answered model requests have no bill yet."""
        billed = {
            (bill.workspace, bill.request_id) for bill in self._bills().values()
        }
        return sum(
            (one.workspace, one.request_id) not in billed
            for one in sent
            if one.kind in CHAT_KINDS and one.outcome == 'answered'
        )

    def _read_engines(self) -> dict[str, list[Served]]:
        served_by_id: dict[str, list[Served]] = collections.defaultdict(list)
        for engine in self._plan.with_role(HostRole.ENGINE):
            for row in self._platform.fetch(engine, '/served'):
                served_by_id[row['request_id']].append(
                    Served(row['time_s'], row['serving'])
                )
        return served_by_id

    def _bills(self) -> dict[str, Bill]:
        """Return the bills by record id; a second copy changes nothing."""
        return {
            entry.record.id: msgspec.json.decode(entry.record.body, type=Bill)
            for entry in self._platform.entries(BILL_STREAM)
        }

    def _is_wrong(self, one: Sent) -> bool:
        if one.kind not in CHAT_KINDS or one.outcome != 'answered':
            return False
        servings = [
            served.serving for served in self._served_by_id[one.request_id]
        ]
        forbidden = one.workspace == 'valves' and f'{MODEL}/large' in servings
        return forbidden or one.served not in servings

    def _count_bills(self, sent: list[Sent], report: Report) -> None:
        report.unbilled = self.unbilled(sent)
        copies = collections.Counter(
            (bill.workspace, bill.request_id) for bill in self._bills().values()
        )
        report.billed_twice = sum(count > 1 for count in copies.values())

    def _orders_run_twice(self, sent: list[Sent]) -> int:
        orders = {one.request_id for one in sent if one.kind == 'order'}
        runs = collections.Counter(
            call['request_id']
            for service in self._plan.with_role(HostRole.SERVICE)
            for call in self._platform.fetch(service, '/calls')
            if call['request_id'] in orders
        )
        return sum(count > 1 for count in runs.values())

    def _late_work_s(self, withdrawn_s: float) -> float:
        times_s = [
            served.time_s
            for all_served in self._served_by_id.values()
            for served in all_served
            if served.serving == f'{MODEL}/{WITHDRAWN}'
        ]
        return max(0, max(times_s, default=0) - withdrawn_s)

    def _count_sessions(self, sent: list[Sent], report: Report) -> None:
        servings_by_session: dict[str, list[str]] = {}
        answered = [one for one in sent if one.outcome == 'answered']
        for one in sorted(answered, key=lambda each: each.ended_s):
            if one.session:
                name = f'{one.workspace}/{one.session}'
                servings_by_session.setdefault(name, []).append(one.served)
        for servings in servings_by_session.values():
            distinct = list(dict.fromkeys(servings))
            report.sessions_moved += len(distinct) > 1
            called_for = distinct[0] == f'{MODEL}/{WITHDRAWN}'
            allowed = 2 if called_for else 1
            report.sessions_moved_uncalled_for += len(distinct) > allowed
