"""Keep one cascade policy for each model of the current table."""

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
    """A model's cascade policy and the lock that serializes its calls."""

    policy: CascadePolicy
    cost_by_version: dict[str, float]
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def choose(self, request: CascadeRequest, wait_of: WaitOf) -> Choice | None:
        """Choose the first version, or None if no answer can be in time."""
        with self.lock:
            return self.policy.choose(request, wait_of)

    def escalate(
        self,
        request: CascadeRequest,
        price: float,
        history: History,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose a costlier version after a doubtful answer, if worth it."""
        with self.lock:
            return self.policy.escalate(
                request, price, history, elapsed_s, wait_of
            )

    def escalate_late(
        self,
        request: CascadeRequest,
        choice: Choice,
        elapsed_s: float,
        wait_of: WaitOf,
    ) -> Choice | None:
        """Choose a version to replace an answer whose hold has ended."""
        with self.lock:
            return self.policy.escalate_late(
                request, choice, elapsed_s, wait_of
            )

    def record_delivery(
        self, request: CascadeRequest, history: History
    ) -> None:
        """Record the expected quality of the last answer of the history."""
        with self.lock:
            self.policy.record_delivery(request, history)

    def observe_times(
        self, version: str, first_token_s: float, total_s: float
    ) -> None:
        """Record the times of one answer, in seconds from its start."""
        with self.lock:
            times = self.policy.times_by_version[version]
            times.observe(first_token_s, total_s)


class ModelCascades:
    """Cascades by model.

    A change of a cascade's versions or of their costs in the table recreates
    the cascade, which takes over the quality estimates of the old one.
    """

    def __init__(self) -> None:
        self._cascade_by_model: dict[str, ModelCascade] = {}
        self._lock = threading.Lock()

    def of(self, state: TableState, model: str) -> ModelCascade | None:
        """Return the model's cascade, or None if the table defines none."""
        row = state.model(model)
        if row is None or not row.cascade:
            return None
        costs = {
            version: _cost(state, model, version) for version in row.cascade
        }
        with self._lock:
            cascade = self._cascade_by_model.get(model)
            if cascade is None or cascade.cost_by_version != costs:
                cascade = _recreated(cascade, costs)
                self._cascade_by_model[model] = cascade
        roll_out = row.roll_out
        cascade.policy.share_by_version = (
            {} if roll_out is None else {roll_out.version: roll_out.share}
        )
        return cascade

    def observe(self, observations: Iterable[Observation]) -> None:
        """Add answers and ratings of all daemons to the quality estimates."""
        for observation in observations:
            cascade = self._cascade_by_model.get(observation.key.model)
            if cascade is not None:
                with cascade.lock:
                    cascade.policy.observe((observation,))

    def replan(self, state: TableState) -> None:
        """Recompute all models' plans with the versions that take work."""
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
    """Return the request's properties for a cascade.

    Returns None if the request's workspace has no quality target.
    """
    workspace = state.workspace(request.workspace)
    if workspace is None or not workspace.quality_target:
        return None
    goal = Goal(workspace.quality_target, workspace.first_token_ms / MS_PER_S)
    return CascadeRequest(request.workspace, task, request.request_id, goal)


def _cost(state: TableState, model: str, version: str) -> float:
    row = state.version(model, version)
    return row.cost_per_1k_tokens if row else 0


def _recreated(
    cascade: ModelCascade | None, costs: dict[str, float]
) -> ModelCascade:
    policy = CascadePolicy(costs, random.Random())
    if cascade is not None:
        policy.estimator.adopt(cascade.policy.estimator)
    return ModelCascade(policy, costs)
