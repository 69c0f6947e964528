"""The quarantine service: hold back requests that crash replicas."""

import asyncio

from marigoldhoist.components.directory.models import Replica, ReplicaStart
from marigoldhoist.components.directory.service import find_directory
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.mirrors.service import find_mirrors
from marigoldhoist.components.quarantine.const import (
    COMPONENT,
    FRESH_ANSWER_S,
    MAX_LOGGED_PARTS,
    MAX_PARTS_PER_CRASH,
    SETTLE_S,
    SUBJECT,
    SURVIVAL_S,
)
from marigoldhoist.components.quarantine.culprits import NEVER_S
from marigoldhoist.components.quarantine.events import (
    CRASH_NOT_CONFIRMED,
    PART_CLEARED,
    PART_SUSPECTED,
    REPLICA_CRASHED,
)
from marigoldhoist.components.quarantine.evidence import (
    SharedEvidence,
    log_held,
)
from marigoldhoist.components.quarantine.inspection import has_ended
from marigoldhoist.components.quarantine.models import Crash, Hold
from marigoldhoist.components.quarantine.part_ids import RequestParts
from marigoldhoist.components.quarantine.settings import QuarantineSettings
from marigoldhoist.components.quarantine.storage import HeldPartStorage
from marigoldhoist.components.quarantine.work import (
    Work,
    WorkTracker,
)
from marigoldhoist.core.background import start_background
from marigoldhoist.core.clock import SYSTEM_CLOCK, SystemClock
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class QuarantineService(BaseService):
    """Collects crashes, shares them and names the requests to refuse."""

    def __init__(
        self, kernel: Kernel, clock: SystemClock = SYSTEM_CLOCK
    ) -> None:
        settings = kernel.settings.section(QuarantineSettings)
        self._mirrors = find_mirrors(kernel)
        self._clock = clock
        self._is_enabled = settings.is_enabled
        self._work = WorkTracker()
        self._evidence = SharedEvidence(settings, clock)
        self._suspected_s_by_part: dict[str, float] = {}
        self._inspection_by_start: dict[ReplicaStart, asyncio.Task[None]] = {}
        self._storage: HeldPartStorage | None = None
        self._storage_task: asyncio.Task[None] | None = None
        directory = find_directory(kernel)
        directory.on_gone(self._forget)
        if not settings.is_enabled:
            return
        findings = self._mirrors.findings
        findings.publish(SUBJECT, self._evidence.encode, is_urgent=True)
        findings.add_listener(self._on_finding)
        kernel.metrics.gauge(
            'prompt_parts_held',
            'Prompt parts and whole requests that are refused, as they crash '
            'replicas.',
        ).set_function(lambda: self._evidence.held_count)

    def attach(self, feeds: FeedService) -> None:
        """Read the stored parts and begin to store those that are found."""
        if not self._is_enabled:
            return
        self._storage = HeldPartStorage(
            feeds, self._clock, self._evidence.merge_held
        )
        self._storage_task = start_background(
            'quarantine storage', self._storage.run
        )

    def stop(self) -> None:
        """Cancel the inspections and the storage."""
        for inspection in self._inspection_by_start.values():
            inspection.cancel()
        if self._storage_task is not None:
            self._storage_task.cancel()

    def begin(self, replica: Replica, parts: RequestParts) -> Work:
        """Track an attempt that begins now; `end` must follow."""
        work = Work(replica, parts)
        self._work.begin(work)
        return work

    def end(self, work: Work) -> None:
        """Record the end of an attempt."""
        now_s = self._clock.boottime_s()
        self._work.end(work, now_s)
        if work.is_answered:
            self._evidence.note_alive(work.start, now_s)
            self._evidence.record_answer(work.parts, now_s)

    def record_event(self, work: Work) -> None:
        """Record a stream event; one that comes late clears the parts."""
        now_s = self._clock.boottime_s()
        self._evidence.note_alive(work.start, now_s)
        if work.is_answered:
            return
        if work.first_event_s is None:
            work.first_event_s = now_s
        elif now_s - work.first_event_s >= SURVIVAL_S:
            work.is_answered = True
            self._evidence.record_answer(work.parts, now_s)

    def inspect(self, work: Work) -> None:
        """Find out whether a replica that lost a connection has crashed."""
        is_planned = work.replica.entry.is_draining or work.replica.is_leaving
        if is_planned or not self._is_enabled:
            return
        if work.start in self._inspection_by_start:
            return
        self._inspection_by_start[work.start] = (
            asyncio.get_running_loop().create_task(self._run_inspection(work))
        )

    def find_hold(self, parts: RequestParts) -> Hold | None:
        """Return why a call with the parts is refused, None if it is not."""
        held_by_part = self._evidence.held.held_by_part
        if not held_by_part and not self._suspected_s_by_part:
            return None
        now_s = self._clock.boottime_s()
        for part_id in parts.ids:
            held = held_by_part.get(part_id)
            if held is not None and held.left_s(now_s) > 0:
                return Hold(part_id, held.left_s(now_s))
            if part_id in self._suspected_s_by_part:
                return Hold(part_id, SETTLE_S)
        return None

    async def _run_inspection(self, work: Work) -> None:
        noticed_s = self._clock.boottime_s()
        is_crash = await has_ended(work.replica)
        depth_by_part = self._candidates(work.start, noticed_s)
        emit(
            REPLICA_CRASHED if is_crash else CRASH_NOT_CONFIRMED,
            replica=work.replica.host,
            service=work.replica.entry.service,
            parts=len(depth_by_part),
            first_parts=list(depth_by_part)[:MAX_LOGGED_PARTS],
        )
        if not is_crash or work.replica.is_gone:
            self._inspection_by_start.pop(work.start, None)
        if not is_crash:
            return
        crash = Crash(work.start, noticed_s, depth_by_part)
        if depth_by_part and self._evidence.crashes.add(crash):
            self._evaluate()
            self._mirrors.push_findings()

    def _candidates(
        self, start: ReplicaStart, noticed_s: float
    ) -> dict[str, int]:
        """Return the parts in flight that have no fresh answer, by depth.

        Those at earlier crashes go first if there are too many.
        """
        answered = self._evidence.answered.answered_s_by_part
        candidates = [
            (part_id, depth)
            for part_id, depth in self._work.depth_by_part(
                start, noticed_s
            ).items()
            if noticed_s - answered.get(part_id, NEVER_S) > FRESH_ANSWER_S
            and not self._evidence.is_allowed(part_id)
        ]
        candidates.sort(
            key=lambda candidate: not self._evidence.crashes.has(candidate[0])
        )
        return dict(candidates[:MAX_PARTS_PER_CRASH])

    def _evaluate(self) -> None:
        """Update the suspected parts; hold those that stay suspected."""
        now_s = self._clock.boottime_s()
        self._evidence.drop_old(now_s)
        culprits = self._evidence.culprits(now_s)
        for cleared in set(self._suspected_s_by_part).difference(culprits):
            self._clear(cleared, now_s)
        for part_id, crashes in culprits.items():
            suspected_s = self._suspected_s_by_part.get(part_id)
            if suspected_s is None:
                self._suspect(part_id, crashes, now_s)
            elif now_s - suspected_s >= SETTLE_S:
                self._hold(part_id, crashes, now_s)

    def _suspect(self, part_id: str, crashes: int, now_s: float) -> None:
        self._suspected_s_by_part[part_id] = now_s
        emit(
            PART_SUSPECTED,
            part=part_id,
            crashes=crashes,
            **self._evidence.log_fields(now_s),
        )
        asyncio.get_running_loop().call_later(SETTLE_S, self._evaluate)

    def _clear(self, part_id: str, now_s: float) -> None:
        suspected_s = self._suspected_s_by_part.pop(part_id)
        if part_id in self._evidence.held.active_ids(now_s):
            # Another daemon held it first, which was logged.
            return
        emit(
            PART_CLEARED,
            part=part_id,
            suspected_for_s=round(now_s - suspected_s, 3),
        )

    def _hold(self, part_id: str, crashes: int, now_s: float) -> None:
        self._suspected_s_by_part.pop(part_id)
        held = self._evidence.held.hold(part_id, crashes, now_s)
        log_held(held, source='own evidence')
        # The readers find it as well; one record for each domain is enough.
        if self._storage is not None and self._mirrors.is_reader:
            self._storage.put(held)
        self._mirrors.push_findings()

    def _on_finding(self, subject: str) -> None:
        """Merge the findings of other daemons; pass on what is new."""
        if subject != SUBJECT:
            return
        is_new = [
            is_item_new
            for received in self._mirrors.findings.received_for(SUBJECT)
            for is_item_new in self._evidence.merge(received)
        ]
        if any(is_new):
            self._mirrors.push_findings()
        self._evaluate()

    def _forget(self, replica: Replica) -> None:
        self._work.forget(replica)
        self._evidence.forget_replica(replica.entry.start)
        self._inspection_by_start.pop(replica.entry.start, None)


def find_quarantine(kernel: Kernel) -> QuarantineService:
    """Return the quarantine service of a kernel."""
    return kernel.find(COMPONENT, QuarantineService)
