"""The quality service: own counts out, everyone's observations in."""

import queue
import threading
import uuid
from collections.abc import Callable

import msgspec

from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.quality.cells import (
    CellKey,
    Observation,
    OwnCells,
    Summary,
    SummaryMerger,
)
from marigoldhoist.components.quality.const import (
    CELLS_TOPIC,
    FULL_EVERY,
    OTHER_TASK,
    SHARE_INTERVAL_S,
    TASKS_AT_MOST,
)
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel

Learn = Callable[[list[Observation]], None]


class QualityStatus(msgspec.Struct, frozen=True):
    """Observations merged since this daemon started, own and peers'."""

    observations: int


class QualityService(BaseService):
    """Merges the counts of all daemons, each answer once."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._host = kernel.settings.section(DaemonSettings).host
        self._peers = kernel.find(PEERS, PeerService)
        self._own = OwnCells(uuid.uuid4().hex)
        self._lock = threading.Lock()
        self._merger = SummaryMerger()
        self._received: queue.SimpleQueue[tuple[str, Summary]] = (
            queue.SimpleQueue()
        )
        self._learners: list[Learn] = []
        self._tasks: set[str] = set()
        self._merged = 0

    def start(self) -> None:
        """Listen to peers."""
        self._peers.subscribe(CELLS_TOPIC, self._on_cells)

    def ready(self) -> None:
        """Begin to share."""
        self._kernel.spawn('quality', self._run)

    def status(self) -> QualityStatus:
        """Return what operators see of the counts."""
        return QualityStatus(self._merged)

    def add_observer(self, learn: Learn) -> None:
        """Call with new observations; learners run one after another."""
        self._learners.append(learn)

    def note(self, key: CellKey, category: int) -> None:
        """Count one answer or rating of this daemon."""
        with self._lock:
            self._own.note(key, category)

    def known_task(self, task: str) -> str:
        """Return the task, or one name for all once there are many."""
        if task in self._tasks or len(self._tasks) < TASKS_AT_MOST:
            self._tasks.add(task)
            return task
        return OTHER_TASK

    def share(self, is_full: bool) -> None:
        """Send the own counts, and learn from those that came."""
        with self._lock:
            summary = self._own.summary(is_full)
        if summary.cells:
            payload = msgspec.msgpack.encode(summary)
            self._peers.publish(CELLS_TOPIC, payload)
        observed = self._merger.merge(self._host, summary)
        while not self._received.empty():
            host, received = self._received.get()
            observed.extend(self._merger.merge(host, received))
        self._merged += len(observed)
        for learn in self._learners:
            learn(observed)

    def _on_cells(self, sender: str, payload: bytes) -> None:
        summary = msgspec.msgpack.decode(payload, type=Summary)
        self._received.put((sender, summary))

    def _run(self) -> None:
        rounds = 0
        while not self._kernel.stopping.wait(SHARE_INTERVAL_S):
            rounds += 1
            self.share(is_full=rounds % FULL_EVERY == 0)
