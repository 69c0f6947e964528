"""The roll-out service: the holder of a model's lease applies the rule."""

import threading
from collections.abc import Iterator

import msgspec
from result import Ok

from marigoldhoist.components.leases.const import COMPONENT as LEASES
from marigoldhoist.components.leases.service import LeaseService
from marigoldhoist.components.quality.cells import Observation
from marigoldhoist.components.quality.const import SUCCEEDED
from marigoldhoist.components.rollouts.const import (
    AUTHOR,
    LEASE_TTL_S,
    STEP_INTERVAL_S,
)
from marigoldhoist.components.rollouts.events import (
    ROLL_OUT_MOVED,
    ROLL_OUT_STOPPED,
)
from marigoldhoist.components.rollouts.rule import RuleInput, next_roll_out
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.const import MODEL
from marigoldhoist.components.table.models import (
    ModelRow,
    RollOut,
    RollOutState,
    RowEdit,
    TableChange,
)
from marigoldhoist.components.table.service import TableService
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class RollOutStatus(msgspec.Struct, frozen=True):
    """All roll-outs in the table, by model."""

    roll_out_by_model: dict[str, RollOut]


class RollOutService(BaseService):
    """Drives the roll-outs whose lease this daemon holds."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._table = kernel.find(TABLE, TableService)
        self._leases = kernel.find(LEASES, LeaseService)
        self._lock = threading.Lock()
        self._answers_by_step: dict[tuple[str, RollOut], int] = {}

    def ready(self) -> None:
        """Start the background thread that drives roll-outs."""
        self._kernel.spawn('rollouts', self._run)

    def status(self) -> RollOutStatus:
        """Return the roll-outs of all models for operators."""
        roll_out_by_model = {
            model: roll_out for model, roll_out in self._roll_outs()
        }
        return RollOutStatus(roll_out_by_model)

    def observe(self, observations: list[Observation]) -> None:
        """Count the answers of versions in a roll-out, by step."""
        for model, roll_out in self._roll_outs():
            answers = sum(
                observation.counts[SUCCEEDED]
                for observation in observations
                if observation.key.model == model
                and observation.key.version == roll_out.version
            )
            with self._lock:
                known = self._answers_by_step.get((model, roll_out), 0)
                self._answers_by_step[model, roll_out] = known + answers

    def step(self) -> None:
        """Apply the rule once to each running roll-out whose lease is held."""
        for model, roll_out in self._roll_outs():
            if roll_out.state is not RollOutState.RUNNING:
                continue
            lease = self._leases.hold(f'rollout/{model}', LEASE_TTL_S)
            if lease.is_held:
                self._apply_rule(model, roll_out)

    def _apply_rule(self, model: str, roll_out: RollOut) -> None:
        rule_input = RuleInput(
            now_ms=SYSTEM_CLOCK.now_ms(),
            answers=self._answers_by_step.get((model, roll_out), 0),
            takes_work=self._table.state.takes_work(model, roll_out.version),
        )
        updated = next_roll_out(roll_out, rule_input)
        if updated is not None:
            self._submit(model, updated)

    def _submit(self, model: str, roll_out: RollOut) -> None:
        stored = self._table.state.rows_by_key[f'{MODEL}/{model}']
        row = msgspec.structs.replace(stored.row, roll_out=roll_out)
        edit = RowEdit(
            f'{MODEL}/{model}',
            msgspec.Raw(msgspec.json.encode(row)),
            stored.revision,
        )
        state = roll_out.state
        note = f'{roll_out.version}: {state.value}, step {roll_out.step}'
        submitted = self._table.submit(TableChange(AUTHOR, (edit,), note))
        if isinstance(submitted, Ok):
            is_stopped = state is RollOutState.STOPPED
            event = ROLL_OUT_STOPPED if is_stopped else ROLL_OUT_MOVED
            emit(event, model=model, note=note)

    def _roll_outs(self) -> Iterator[tuple[str, RollOut]]:
        rows = self._table.state.rows_by_key
        for key, stored in list(rows.items()):
            row = stored.row
            if isinstance(row, ModelRow) and row.roll_out is not None:
                yield key.removeprefix(f'{MODEL}/'), row.roll_out

    def _run(self) -> None:
        while not self._kernel.stopping.wait(STEP_INTERVAL_S):
            self.step()
