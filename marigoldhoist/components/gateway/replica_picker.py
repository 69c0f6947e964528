"""Choose the replica for a call by load, locality and prefix affinity."""

import dataclasses
import random
from collections.abc import Container, Sequence
from typing import Final

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.models import Prompt
from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.components.placement.model_escalation import MeanDelays
from marigoldhoist.components.placement.prefill_backlog import mean_delays
from marigoldhoist.components.placement.prefill_times import PrefillTimes
from marigoldhoist.components.placement.prefixes import PrefixCacheTracker
from marigoldhoist.components.placement.replicas import (
    PickContext,
    ReplicaView,
    pick_replica,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.rendezvous import pick_by_weight

# Mean service time of a plain call and of a generation at a replica.
PLAIN_SERVICE_TIME_S: Final = 0.3
GENERATION_SERVICE_TIME_S: Final = 2.0
# Prompt tokens whose prefill costs as much as one more running request.
TOKENS_PER_REQUEST: Final = 4000
# Requests per slot added to the load of replicas in other failure domains. A
# batching replica slows down gradually, so locality weighs less.
GENERATION_SPILL_MARGIN: Final = 0.03
# Requests per slot added to the load bound up to which a cached prefix attracts
# requests.
AFFINITY_HEADROOM: Final = 0.15
# Share of a shared prefix assumed to be cached at the replica that rendezvous
# hashing assigns to it, as other daemons may have sent requests with it there.
ASSUMED_CACHED_SHARE: Final = 0.5
# Penalty of a recent failure, in requests per slot.
FAILURE_PENALTY: Final = 0.35
# Penalty of a replica that is suspected to be down, in requests per slot.
SUSPECT_PENALTY: Final = 5.0
# Penalty of each second of pending prefill, in requests per slot.
PREFILL_PENALTY_PER_S: Final = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class PickRequest:
    """Candidate replicas and the model and prompt of a call.

    Plain calls have an empty model and no prompt. Hosts in `excluded` are
    not picked.
    """

    replicas: Sequence[Replica]
    excluded: Container[str] = ()
    model: str = ''
    prompt: Prompt | None = None


class ReplicaPicker:
    """Picks replicas by load, failure domain, failures and cached prefixes."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self.prefixes = PrefixCacheTracker()
        self.prefill_times = PrefillTimes()

    def pick(self, request: PickRequest) -> Replica | None:
        """Return the best candidate, None if every replica is excluded."""
        candidates = [
            replica
            for replica in request.replicas
            if replica.host not in request.excluded
        ]
        if not candidates:
            return None
        picked = pick_replica(
            self._views(candidates, request), self._context(candidates, request)
        )
        return next(
            (
                replica
                for replica in candidates
                if picked and replica.host == picked.host
            ),
            None,
        )

    def record_prefill(
        self,
        replica: Replica,
        model: str,
        prompt: Prompt,
        time_to_head_s: float,
    ) -> None:
        """Record the prefill time and the prompt parts cached at a replica."""
        self.prefill_times.observe(model, prompt.tokens_in, time_to_head_s)
        part_ids = [part.part_id for part in prompt.parts]
        now_s = SYSTEM_CLOCK.boottime_s()
        self.prefixes.note(replica.host, model, part_ids, now_s)

    def mean_load(self, replicas: Sequence[Replica]) -> float:
        """Return the estimated mean load, in requests per slot."""
        views = self._estimates(replicas, GENERATION_SERVICE_TIME_S)
        slots = sum(view.slots for view in views)
        in_flight = sum(view.in_flight for view in views)
        return in_flight / slots if slots else 0

    def mean_delays(self, replicas: Sequence[Replica]) -> MeanDelays:
        """Return the delays by other prompts at the replicas in reach."""
        backlogs = [
            replica.backlog
            for replica in replicas
            if not replica.is_unreachable
        ]
        return mean_delays(backlogs, SYSTEM_CLOCK.boottime_s())

    def _estimates(
        self, replicas: Sequence[Replica], service_time_s: float
    ) -> list[ReplicaView]:
        now_s = SYSTEM_CLOCK.boottime_s()
        return replica_views(replicas, LoadContext(now_s, service_time_s))

    def _views(
        self, replicas: Sequence[Replica], request: PickRequest
    ) -> list[ReplicaView]:
        service_time_s = (
            GENERATION_SERVICE_TIME_S
            if request.prompt
            else PLAIN_SERVICE_TIME_S
        )
        cached = self._cached_shares(replicas, request)
        now_s = SYSTEM_CLOCK.boottime_s()
        return [
            dataclasses.replace(
                view,
                cached_share=cached.get(view.host, 0),
                penalty=_penalty(replica, now_s),
            )
            for replica, view in zip(
                replicas,
                self._estimates(replicas, service_time_s),
                strict=True,
            )
        ]

    def _cached_shares(
        self, replicas: Sequence[Replica], request: PickRequest
    ) -> dict[str, float]:
        prompt = request.prompt
        if prompt is None or not prompt.tokens_in or len(prompt.parts) < 2:
            return {}
        shared = prompt.parts[:-1]
        preferred_host = pick_by_weight(
            {replica.host: replica.slots for replica in replicas},
            shared[-1].part_id,
        )
        tokens_by_host = {
            replica.host: self._cached_tokens(
                replica.host, request.model, prompt
            )
            for replica in replicas
        }
        assumed = ASSUMED_CACHED_SHARE * sum(part.tokens for part in shared)
        tokens_by_host[preferred_host] = max(
            tokens_by_host[preferred_host], assumed
        )
        return {
            host: min(1, tokens / prompt.tokens_in)
            for host, tokens in tokens_by_host.items()
        }

    def _cached_tokens(self, host: str, model: str, prompt: Prompt) -> float:
        cached_parts = self.prefixes.cached_part_count(
            host,
            model,
            [part.part_id for part in prompt.parts],
            SYSTEM_CLOCK.boottime_s(),
        )
        return sum(part.tokens for part in prompt.parts[:cached_parts])

    def _context(
        self, replicas: Sequence[Replica], request: PickRequest
    ) -> PickContext:
        if request.prompt is None:
            return PickContext(self._failure_domain, self._rng)
        slots = sum(replica.slots for replica in replicas) / len(replicas)
        return PickContext(
            self._failure_domain,
            self._rng,
            GENERATION_SPILL_MARGIN,
            request.prompt.tokens_in / TOKENS_PER_REQUEST / slots,
            AFFINITY_HEADROOM,
        )


def _penalty(replica: Replica, now_s: float) -> float:
    penalty = FAILURE_PENALTY * replica.failures(now_s)
    penalty += PREFILL_PENALTY_PER_S * replica.backlog.pending_s
    if now_s < replica.suspected_until_s:
        penalty += SUSPECT_PENALTY
    return penalty
