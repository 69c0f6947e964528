"""The cascades of the table in force, one policy for each model."""

import dataclasses
import random
import threading
from collections.abc import Iterable

from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.routing.cascades import (
    CascadePolicy,
    CascadeRequest,
    Choice,
    Goal,
    WaitOf,
)
from marigoldhoist.components.routing.plans import History
from marigoldhoist.components.table.state import TableState
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.exchange import CallerRequest


@dataclasses.dataclass(slots=True)
class ModelCascade:
    """A model's policy; its lock guards every use of it."""

    policy: CascadePolicy
    cost_by_version: dict[str, float]
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def choose(self, ask: CascadeRequest, wait_of: WaitOf) -> Choice | None:
        """Choose the first version."""
        with self.lock:
            return self.policy.choose(ask, wait_of)

    def escalate(
        self,
        ask: CascadeRequest,
        price: float,
        history: History,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose what follows a doubt."""
        with self.lock:
            return self.policy.escalate(ask, price, history, elapsed_s, wait_of)

    def escalate_late(
        self,
        ask: CascadeRequest,
        choice: Choice,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose what follows when the doubt is late."""
        with self.lock:
            return self.policy.escalate_late(ask, choice, elapsed_s, wait_of)

    def record_delivery(self, ask: CascadeRequest, history: History) -> None:
        """Learn of a delivered answer."""
        with self.lock:
            self.policy.record_delivery(ask, history)

    def observe_times(
        self, version: str, first_s: float, whole_s: float
    ) -> None:
        """Learn how long one answer took."""
        with self.lock:
            times = self.policy.times_by_version[version]
            times.observe(first_s, whole_s)


class ModelCascades:
    """Policies by model, made anew when the table changes their costs."""

    def __init__(self) -> None:
        self._cascade_by_model: dict[str, ModelCascade] = {}
        self._lock = threading.Lock()

    def of(self, state: TableState, model: str) -> ModelCascade | None:
        """Return the model's cascade, none where the table names none."""
        row = state.model(model)
        if row is None or not row.cascade:
            return None
        costs = {
            version: _cost(state, model, version) for version in row.cascade
        }
        with self._lock:
            known = self._cascade_by_model.get(model)
            if known is None or known.cost_by_version != costs:
                known = _renewed(known, costs)
                self._cascade_by_model[model] = known
        roll_out = row.roll_out
        known.policy.share_by_version = (
            {} if roll_out is None else {roll_out.version: roll_out.share}
        )
        return known

    def observe(self, observations: Iterable[Observation]) -> None:
        """Learn from answers and ratings of all daemons."""
        for observation in observations:
            cascade = self._cascade_by_model.get(observation.key.model)
            if cascade is not None:
                with cascade.lock:
                    cascade.policy.observe((observation,))

    def replan(self, state: TableState) -> None:
        """Plan anew with the versions that take work."""
        for model, cascade in list(self._cascade_by_model.items()):
            usable = {
                version
                for version in cascade.policy.versions
                if state.takes_work(model, version)
            }
            with cascade.lock:
                cascade.policy.replan(usable)


def cascade_request(
    request: CallerRequest, state: TableState, task: str
) -> CascadeRequest | None:
    """Return what a cascade needs of a request, if its workspace wants one."""
    workspace = state.workspace(request.workspace)
    if workspace is None or not workspace.quality_target:
        return None
    goal = Goal(workspace.quality_target, workspace.first_token_ms / MS_PER_S)
    return CascadeRequest(request.workspace, task, request.request_id, goal)


def _cost(state: TableState, model: str, version: str) -> float:
    row = state.version(model, version)
    return row.cost_per_1k_tokens if row else 0


def _renewed(
    known: ModelCascade | None, costs: dict[str, float]
) -> ModelCascade:
    policy = CascadePolicy(costs, random.Random())
    if known is not None:
        policy.estimator.adopt(known.policy.estimator)
    return ModelCascade(policy, costs)
