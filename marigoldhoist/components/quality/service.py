"""Publish this daemon's quality counts and merge those of all daemons."""

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
    FULL_SUMMARY_ROUNDS,
    MAX_TASKS,
    OTHER_TASK,
    SHARE_INTERVAL_S,
)
from marigoldhoist.core.decoding import decode_msgpack
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import BaseService, Kernel

Observer = Callable[[list[Observation]], None]


class QualityStatus(msgspec.Struct, frozen=True):
    """The number of observations merged since this daemon started.

    It includes the observations of this daemon and of its peers.
    """

    observations: int


class QualityService(BaseService):
    """Merges the counts of all daemons and counts each answer once."""

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
        self._observers: list[Observer] = []
        self._tasks: set[str] = set()
        self._observation_count = 0

    def start(self) -> None:
        """Subscribe to the counts of peers."""
        self._peers.subscribe(CELLS_TOPIC, self._on_cells)

    def ready(self) -> None:
        """Start sharing counts periodically."""
        self._kernel.spawn('quality', self._run)

    def status(self) -> QualityStatus:
        """Return the status shown to operators."""
        return QualityStatus(self._observation_count)

    def add_observer(self, observer: Observer) -> None:
        """Add a callback for new observations; callbacks run in sequence."""
        self._observers.append(observer)

    def note(self, key: CellKey, category: int) -> None:
        """Count one answer or rating of this daemon."""
        with self._lock:
            self._own.note(key, category)

    def known_task(self, task: str) -> str:
        """Return the task, or `OTHER_TASK` for a new one beyond the limit."""
        if task in self._tasks or len(self._tasks) < MAX_TASKS:
            self._tasks.add(task)
            return task
        return OTHER_TASK

    def share(self, is_full: bool) -> None:
        """Publish this daemon's counts and report new ones to the observers."""
        with self._lock:
            summary = self._own.summary(is_full)
        if summary.cells:
            payload = msgspec.msgpack.encode(summary)
            self._peers.publish(CELLS_TOPIC, payload)
        observed = self._merger.merge(self._host, summary)
        while not self._received.empty():
            host, received = self._received.get()
            observed.extend(self._merger.merge(host, received))
        self._observation_count += len(observed)
        for observer in self._observers:
            observer(observed)

    def _on_cells(self, sender: str, payload: bytes) -> None:
        summary = decode_msgpack(payload, Summary)
        self._received.put((sender, summary))

    def _run(self) -> None:
        rounds = 0
        while not self._kernel.stopping.wait(SHARE_INTERVAL_S):
            rounds += 1
            self.share(is_full=rounds % FULL_SUMMARY_ROUNDS == 0)
