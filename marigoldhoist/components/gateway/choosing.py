"""Choose the replica for a call from the directory and the placement rules."""

import dataclasses
import random
from collections.abc import Container, Sequence
from typing import Final

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.models import Prompt
from marigoldhoist.components.placement.loads import LoadContext, replica_views
from marigoldhoist.components.placement.prefill_times import PrefillTimes
from marigoldhoist.components.placement.prefixes import PrefixCacheTracker
from marigoldhoist.components.placement.replicas import (
    PickContext,
    ReplicaView,
    pick_replica,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.rendezvous import pick_by_weight

# The time that a plain call and a generation stay at a replica, in seconds.
PLAIN_SERVICE_TIME_S: Final = 0.3
GENERATION_SERVICE_TIME_S: Final = 2.0
# Tokens that take as long to read as one more running request costs.
TOKENS_PER_REQUEST: Final = 4000
# A batching replica slows down little by little, so distance weighs less.
GENERATION_SPILL_MARGIN: Final = 0.03
AFFINITY_HEADROOM: Final = 0.15
# Of a shared prefix that another daemon may have had read where the prefix's
# hash points to.
ASSUMED_CACHED: Final = 0.5
# Requests per slot that a recent failure counts for.
FAILURE_PENALTY: Final = 0.35
SUSPECT_PENALTY: Final = 5.0
# Requests per slot that a second of prompts to be read counts for.
READING_PENALTY_PER_S: Final = 0.15


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """What a call needs of a replica; the model is empty for plain calls."""

    replicas: Sequence[Replica]
    tried: Container[str] = ()
    model: str = ''
    prompt: Prompt | None = None


class ReplicaPicker:
    """Picks replicas by estimated load, distance, failures and prefixes."""

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self.prefixes = PrefixCacheTracker()
        self.read_times = PrefillTimes()

    def pick(self, wanted: Wanted) -> Replica | None:
        """Return the replica to ask, none where none is left."""
        left = [one for one in wanted.replicas if one.host not in wanted.tried]
        if not left:
            return None
        picked = pick_replica(
            self._views(left, wanted), self._context(left, wanted)
        )
        return next(
            (one for one in left if picked and one.host == picked.host), None
        )

    def note_read(
        self, replica: Replica, model: str, prompt: Prompt, head_s: float
    ) -> None:
        """Note that a replica read a prompt in that time."""
        self.read_times.observe(model, prompt.tokens_in, head_s)
        part_ids = [part.part_id for part in prompt.parts]
        now_s = SYSTEM_CLOCK.boottime_s()
        self.prefixes.note(replica.host, model, part_ids, now_s)

    def load(self, replicas: Sequence[Replica]) -> float:
        """Return the mean requests per slot, as far as it is known."""
        views = self._estimates(replicas, GENERATION_SERVICE_TIME_S)
        slots = sum(view.slots for view in views)
        in_flight = sum(view.in_flight for view in views)
        return in_flight / slots if slots else 0

    def _estimates(
        self, replicas: Sequence[Replica], service_time_s: float
    ) -> list[ReplicaView]:
        now_s = SYSTEM_CLOCK.boottime_s()
        return replica_views(replicas, LoadContext(now_s, service_time_s))

    def _views(
        self, replicas: Sequence[Replica], wanted: Wanted
    ) -> list[ReplicaView]:
        service_time_s = (
            GENERATION_SERVICE_TIME_S if wanted.prompt else PLAIN_SERVICE_TIME_S
        )
        cached = self._cached_shares(replicas, wanted)
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
        self, replicas: Sequence[Replica], wanted: Wanted
    ) -> dict[str, float]:
        prompt = wanted.prompt
        if prompt is None or not prompt.tokens_in or len(prompt.parts) < 2:
            return {}
        shared = prompt.parts[:-1]
        home = pick_by_weight(
            {replica.host: replica.slots for replica in replicas},
            shared[-1].part_id,
        )
        tokens_by_host = {
            replica.host: self._held_tokens(replica.host, wanted.model, prompt)
            for replica in replicas
        }
        assumed = ASSUMED_CACHED * sum(part.tokens for part in shared)
        tokens_by_host[home] = max(tokens_by_host[home], assumed)
        return {
            host: min(1, tokens / prompt.tokens_in)
            for host, tokens in tokens_by_host.items()
        }

    def _held_tokens(self, host: str, model: str, prompt: Prompt) -> float:
        held = self.prefixes.cached_part_count(
            host,
            model,
            [part.part_id for part in prompt.parts],
            SYSTEM_CLOCK.boottime_s(),
        )
        return sum(part.tokens for part in prompt.parts[:held])

    def _context(
        self, replicas: Sequence[Replica], wanted: Wanted
    ) -> PickContext:
        if wanted.prompt is None:
            return PickContext(self._failure_domain, self._rng)
        slots = sum(one.slots for one in replicas) / len(replicas)
        return PickContext(
            self._failure_domain,
            self._rng,
            GENERATION_SPILL_MARGIN,
            wanted.prompt.tokens_in / TOKENS_PER_REQUEST / slots,
            AFFINITY_HEADROOM,
        )


def _penalty(replica: Replica, now_s: float) -> float:
    penalty = FAILURE_PENALTY * replica.failures(now_s)
    penalty += READING_PENALTY_PER_S * replica.pending_prefill_s
    if now_s < replica.suspected_until_s:
        penalty += SUSPECT_PENALTY
    return penalty
