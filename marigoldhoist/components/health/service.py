"""The health service: judge versions, hold the bad ones, tell the table."""

import dataclasses
import random
import threading
import time

import msgspec

from marigoldhoist.components.health.const import (
    HOLD_TOPIC,
    OTHERS_WAIT_S,
    SUBMIT_INTERVAL_S,
)
from marigoldhoist.components.health.detector import Alarm
from marigoldhoist.components.health.events import (
    HOLD_ENDED,
    LAST_VERSION_BAD,
    VERSION_HELD,
)
from marigoldhoist.components.health.models import HealthStatus, HoldNotice
from marigoldhoist.components.health.rows import (
    hold_change,
    version_revision,
    versions_by_model,
)
from marigoldhoist.components.health.watch import Watches
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
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


@dataclasses.dataclass(frozen=True, slots=True)
class LocalHold:
    """A hold that the table does not show yet, and when to submit it.

    The daemon that judged the version tells its peers until the table does.
    """

    notice: HoldNotice
    submit_s: float
    is_own: bool


class HealthService(BaseService):
    """Holds bad versions at once, here and at the peers, then by the table.

    A local hold ends when the version's row has changed since: from then on
    the table alone decides.
    """

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._table = kernel.find(TABLE, TableService)
        self._routing = kernel.find(ROUTING, RoutingService)
        self._peers = kernel.find(PEERS, PeerService)
        self._upstreams = kernel.find(UPSTREAMS, UpstreamService)
        self._watches = Watches()
        self._lock = threading.Lock()
        self._hold_by_serving: dict[str, LocalHold] = {}

    def start(self) -> None:
        """Listen to peers and begin to submit holds."""
        self._peers.subscribe(HOLD_TOPIC, self._on_notice)
        self._kernel.spawn('health', self._submit_all)

    def status(self) -> HealthStatus:
        """Return what operators see of the holds."""
        return HealthStatus(tuple(sorted(self._hold_by_serving)))

    def learn(self, observations: list[Observation]) -> None:
        """Judge the versions that new answers came from."""
        names = versions_by_model(self._table.state)
        for model, watch in self._watches.observe(observations, names):
            domains = {
                version: self._domains(model, version)
                for version in watch.versions
            }
            for alarm in watch.alarms(domains):
                watch.forget(alarm.version)
                self._condemn(model, alarm)

    def _condemn(self, model: str, alarm: Alarm) -> None:
        serving = f'{model}/{alarm.version}'
        state = self._table.state
        if not state.takes_work(model, alarm.version):
            return
        if self._is_last(model, alarm.version):
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
        """Hold a version here, at the peers and then in the table."""
        self._hold(LocalHold(notice, time.monotonic(), is_own=True))
        self._tell(notice)

    def _tell(self, notice: HoldNotice) -> None:
        self._peers.publish(HOLD_TOPIC, msgspec.msgpack.encode(notice))

    def _hold(self, hold: LocalHold) -> None:
        notice = hold.notice
        serving = f'{notice.model}/{notice.version}'
        with self._lock:
            if serving in self._hold_by_serving:
                return
            self._hold_by_serving[serving] = hold
        self._routing.holds.hold(notice.model, notice.version)
        emit(VERSION_HELD, serving=serving, reason=notice.reason)

    def _on_notice(self, _sender: str, payload: bytes) -> None:
        notice = msgspec.msgpack.decode(payload, type=HoldNotice)
        is_known = self._revision(notice) <= notice.revision
        if is_known and not self._is_last(notice.model, notice.version):
            wait_s = OTHERS_WAIT_S * (1 + random.random())
            submit_s = time.monotonic() + wait_s
            self._hold(LocalHold(notice, submit_s, is_own=False))

    def _submit_all(self) -> None:
        while not self._kernel.stopping.wait(SUBMIT_INTERVAL_S):
            for hold in list(self._hold_by_serving.values()):
                self._settle(hold)

    def _settle(self, hold: LocalHold) -> None:
        notice = hold.notice
        if self._revision(notice) > notice.revision:
            self._end(notice)
            return
        # A peer may have been out of reach when it was told before.
        if hold.is_own:
            self._tell(notice)
        if time.monotonic() >= hold.submit_s:
            self._submit(notice)

    def _submit(self, notice: HoldNotice) -> None:
        change = hold_change(self._table.state, notice)
        if change is not None:
            self._table.submit(change)

    def _end(self, notice: HoldNotice) -> None:
        serving = f'{notice.model}/{notice.version}'
        with self._lock:
            self._hold_by_serving.pop(serving, None)
        self._routing.holds.release(notice.model, notice.version)
        emit(HOLD_ENDED, serving=serving)

    def _revision(self, notice: HoldNotice) -> int:
        state = self._table.state
        found = version_revision(state, notice.model, notice.version)
        return notice.revision if found is None else found

    def _is_last(self, model: str, version: str) -> bool:
        state = self._table.state
        usable = [
            other
            for other in versions_by_model(state).get(model, ())
            if state.takes_work(model, other)
            and not self._routing.holds.is_held(model, other)
        ]
        return usable == [version]

    def _domains(self, model: str, version: str) -> int:
        replicas = self._upstreams.replicas_serving(f'{model}/{version}')
        return len({replica.failure_domain for replica in replicas})
