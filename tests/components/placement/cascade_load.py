"""Play a load of prompts through the decision to escalate.

Replicas prefill first come, first served. Prompt lengths are log-normal, so a
few prompts on the large model make up most of the work. A daemon sees only what
its own requests show: when they were sent and when their responses began.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Iterator
from typing import Final

from marigoldhoist.components.placement.model_escalation import (
    EscalationContext,
    MeanDelays,
    choose_larger_model,
)
from marigoldhoist.components.placement.prefill_backlog import (
    PendingPrefill,
    PrefillBacklog,
    mean_delays,
)
from marigoldhoist.components.placement.prefill_times import PrefillTimes

MODELS: Final = ('small', 'large')
TOKENS_PER_S_BY_MODEL: Final = {'small': 300_000.0, 'large': 30_000.0}
OBJECTIVE_S: Final = 2.0
MEAN_LOG_TOKENS: Final = 8.9
SIGMA_LOG_TOKENS: Final = 0.9
MAX_TOKENS: Final = 60_000
# Share of the answers of the small model that need the large one.
HARD_SHARE: Final = 0.45
LOW_CONFIDENCE: Final = 20
HIGH_CONFIDENCE: Final = 95


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Requests per second at some replicas, for a time in seconds."""

    rate_per_s: float
    replicas: int
    for_s: float = 60.0


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request and when its first event came."""

    arrived_s: float
    tokens: int
    is_hard: bool
    model: str = MODELS[0]
    first_event_s: float = 0

    @property
    def is_in_time(self) -> bool:
        """Return whether the first event met the objective."""
        return self.first_event_s <= OBJECTIVE_S


@dataclasses.dataclass(slots=True)
class _Replica:
    backlog: PrefillBacklog = dataclasses.field(default_factory=PrefillBacklog)
    free_s: float = 0

    def prefill(self, request: Request, now_s: float) -> float:
        """Queue a prompt and return the time at which its prefill ends."""
        work_s = request.tokens / TOKENS_PER_S_BY_MODEL[request.model]
        self.free_s = max(self.free_s, now_s) + work_s
        return self.free_s


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Head:
    """The beginning of a response, in order of time."""

    at_s: float
    number: int
    request: Request = dataclasses.field(compare=False)
    replica: _Replica = dataclasses.field(compare=False)
    prefill: PendingPrefill = dataclasses.field(compare=False)


class CascadeLoad:
    """Plays a load; `sees_delay` is whether decisions know of the backlog."""

    def __init__(self, load: Load, *, seed: int, sees_delay: bool) -> None:
        self._load = load
        self._rng = random.Random(seed)
        self._sees_delay = sees_delay
        self._replicas = [_Replica() for _ in range(load.replicas)]
        self._times = PrefillTimes()
        self._heads: list[_Head] = []
        self._numbers = itertools.count()

    def play(self) -> list[Request]:
        """Return the requests after all of them were answered."""
        requests = list(self._arrivals())
        for request in requests:
            self._answer_until(request.arrived_s)
            self._send(request, request.arrived_s)
        self._answer_until(float('inf'))
        return requests

    def _arrivals(self) -> Iterator[Request]:
        now_s = self._rng.expovariate(self._load.rate_per_s)
        while now_s < self._load.for_s:
            tokens = self._rng.lognormvariate(MEAN_LOG_TOKENS, SIGMA_LOG_TOKENS)
            yield Request(
                now_s,
                min(MAX_TOKENS, int(tokens)),
                self._rng.random() < HARD_SHARE,
            )
            now_s += self._rng.expovariate(self._load.rate_per_s)

    def _send(self, request: Request, now_s: float) -> None:
        replica = min(
            self._replicas,
            key=lambda known: (known.backlog.pending_s, self._rng.random()),
        )
        expected_s = self._times.expected_s(request.model, request.tokens) or 0
        head = _Head(
            replica.prefill(request, now_s),
            next(self._numbers),
            request,
            replica,
            replica.backlog.begin(now_s, expected_s),
        )
        heapq.heappush(self._heads, head)

    def _answer_until(self, now_s: float) -> None:
        while self._heads and self._heads[0].at_s <= now_s:
            self._answer(heapq.heappop(self._heads))

    def _answer(self, head: _Head) -> None:
        request = head.request
        head.replica.backlog.finish(head.prefill, head.at_s)
        waited_s = head.at_s - head.prefill.sent_s
        self._times.observe(request.model, request.tokens, waited_s)
        elapsed_s = head.at_s - request.arrived_s
        larger = choose_larger_model(
            MODELS, request.model, self._context(request, elapsed_s, head.at_s)
        )
        if larger:
            request.model = larger
            self._send(request, head.at_s)
        else:
            request.first_event_s = elapsed_s

    def _context(
        self, request: Request, elapsed_s: float, now_s: float
    ) -> EscalationContext:
        is_weak = request.is_hard and request.model == MODELS[0]
        return EscalationContext(
            LOW_CONFIDENCE if is_weak else HIGH_CONFIDENCE,
            0,
            OBJECTIVE_S - elapsed_s,
            0,
            1,
            lambda model: self._times.expected_s(model, request.tokens),
            self._delays(now_s) if self._sees_delay else MeanDelays(),
        )

    def _delays(self, now_s: float) -> MeanDelays:
        backlogs = [replica.backlog for replica in self._replicas]
        return mean_delays(backlogs, now_s)
