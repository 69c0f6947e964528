"""The health service: hold degraded versions, locally and in the table."""

import dataclasses
import random
import threading
import time

import msgspec

from marigoldhoist.components.health.const import (
    HOLD_TOPIC,
    PEER_SUBMIT_DELAY_S,
    SUBMIT_INTERVAL_S,
)
from marigoldhoist.components.health.detector import Alarm
from marigoldhoist.components.health.events import (
    HOLD_ENDED,
    LAST_VERSION_BAD,
    VERSION_HELD,
)
from marigoldhoist.components.health.models import HealthStatus, HoldNotice
from marigoldhoist.components.health.monitor import ModelMonitors
from marigoldhoist.components.health.rows import (
    hold_change,
    version_revision,
    versions_by_model,
)
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.routing.const import COMPONENT as ROUTING
from marigoldhoist.components.routing.service import RoutingService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.const import NO_REVISION
from marigoldhoist.components.table.service import TableService
from marigoldhoist.components.upstreams.const import COMPONENT as UPSTREAMS
from marigoldhoist.components.upstreams.service import UpstreamService
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


@dataclasses.dataclass(frozen=True, slots=True)
class LocalHold:
    """A hold that is not in the table yet.

    It is submitted to the table from `submit_s` on, a monotonic time. The
    daemon that raised the alarm (`is_own`) publishes the notice to its peers
    until the version's row has changed.
    """

    notice: HoldNotice
    submit_s: float
    is_own: bool


class HealthService(BaseService):
    """Holds bad versions, first locally and at peers, then in the table.

    A local hold ends when the version's row changes; from then on the table
    alone decides.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._peers = kernel.find(PEERS, PeerService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._monitors = ModelMonitors()
        self._lock = threading.Lock()
        self._hold_by_serving: dict[str, LocalHold] = {}

    def start(self) -> None:
        """Subscribe to notices of peers and start to submit holds."""
        self._peers.subscribe(HOLD_TOPIC, self._on_notice)
        self._kernel.spawn('health', self._run_submissions)

    def status(self) -> HealthStatus:
        """Return the local holds for operators."""
        return HealthStatus(tuple(sorted(self._hold_by_serving)))

    def observe(self, observations: list[Observation]) -> None:
        """Test the versions of new answers and hold those found bad."""
        model_versions = versions_by_model(self._table.state)
        for model, monitor in self._monitors.observe(
            observations, model_versions
        ):
            domains = {
                version: self._count_domains(model, version)
                for version in monitor.versions
            }
            for alarm in monitor.alarms(domains):
                monitor.reset(alarm.version)
                self._handle_alarm(model, alarm)

    def _handle_alarm(self, model: str, alarm: Alarm) -> None:
        serving = f'{model}/{alarm.version}'
        state = self._table.state
        if not state.takes_work(model, alarm.version):
            return
        if self._is_last_usable(model, alarm.version):
            emit(LAST_VERSION_BAD, serving=serving, fault=alarm.fault.value)
            return
        revision = version_revision(state, model, alarm.version)
        notice = HoldNotice(
            model,
            alarm.version,
            f'{alarm.fault.value}: evidence {alarm.evidence:.1f}',
            NO_REVISION if revision is None else revision,
        )
        self.hold_and_publish(notice)

    def hold_and_publish(self, notice: HoldNotice) -> None:
        """Hold a version here and at the peers, and later in the table."""
        self._apply_hold(LocalHold(notice, time.monotonic(), is_own=True))
        self._publish(notice)

    def _publish(self, notice: HoldNotice) -> None:
        self._peers.publish(HOLD_TOPIC, msgspec.msgpack.encode(notice))

    def _apply_hold(self, hold: LocalHold) -> None:
        notice = hold.notice
        serving = f'{notice.model}/{notice.version}'
        with self._lock:
            if serving in self._hold_by_serving:
                return
            self._hold_by_serving[serving] = hold
        self._routing.holds.hold(notice.model, notice.version)
        emit(VERSION_HELD, serving=serving, reason=notice.reason)

    def _on_notice(self, _sender: str, payload: bytes) -> None:
        notice = decode_msgpack(payload, HoldNotice)
        is_current = self._current_revision(notice) <= notice.revision
        if is_current and not self._is_last_usable(
            notice.model, notice.version
        ):
            wait_s = PEER_SUBMIT_DELAY_S * (1 + random.random())
            submit_s = time.monotonic() + wait_s
            self._apply_hold(LocalHold(notice, submit_s, is_own=False))

    def _run_submissions(self) -> None:
        while not self._kernel.stopping.wait(SUBMIT_INTERVAL_S):
            for hold in list(self._hold_by_serving.values()):
                self._update_hold(hold)

    def _update_hold(self, hold: LocalHold) -> None:
        notice = hold.notice
        if self._current_revision(notice) > notice.revision:
            self._release(notice)
            return
        # A peer may have missed earlier notices.
        if hold.is_own:
            self._publish(notice)
        if time.monotonic() >= hold.submit_s:
            self._submit(notice)

    def _submit(self, notice: HoldNotice) -> None:
        change = hold_change(self._table.state, notice)
        if change is not None:
            self._table.submit(change)

    def _release(self, notice: HoldNotice) -> None:
        serving = f'{notice.model}/{notice.version}'
        with self._lock:
            self._hold_by_serving.pop(serving, None)
        self._routing.holds.release(notice.model, notice.version)
        emit(HOLD_ENDED, serving=serving)

    def _current_revision(self, notice: HoldNotice) -> int:
        state = self._table.state
        revision = version_revision(state, notice.model, notice.version)
        return notice.revision if revision is None else revision

    def _is_last_usable(self, model: str, version: str) -> bool:
        state = self._table.state
        usable = [
            other
            for other in versions_by_model(state).get(model, ())
            if state.takes_work(model, other)
            and not self._routing.holds.is_held(model, other)
        ]
        return usable == [version]

    def _count_domains(self, model: str, version: str) -> int:
        replicas = self._upstreams.replicas_serving(f'{model}/{version}')
        return len({replica.failure_domain for replica in replicas})
