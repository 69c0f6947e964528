"""Bounded model checking and proofs by induction with z3."""

import dataclasses
import itertools
from collections.abc import Iterator
from typing import Any

import z3

from tools.model_check.properties import Property
from tools.model_check.system import System

TIMEOUT_MS = 120_000


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a counterexample: an action and the changed variables."""

    action: str
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Counterexample:
    """The steps from an initial state to a state that violates a property."""

    violated: Property
    steps: tuple[Step, ...]


class CheckFailedError(Exception):
    """The solver was undecided, or the invariant is not inductive."""


def search(system: System) -> Counterexample | None:
    """Return the shortest counterexample within the depth, if there is one."""
    solver = z3.Solver()
    solver.set('timeout', TIMEOUT_MS)
    run = [system.variables('0')]
    solver.add(system.initial(run[0]))
    for depth in range(system.depth + 1):
        for violated, predicate in system.properties.items():
            solver.push()
            solver.add(z3.Not(predicate(run[-1])))
            if _is_satisfiable(solver):
                return Counterexample(
                    violated,
                    tuple(_counterexample_steps(system, run, solver.model())),
                )
            solver.pop()
        run.append(system.variables(str(depth + 1)))
        solver.add(_transition(system, depth, run))
    return None


def unused_actions(system: System) -> tuple[str, ...]:
    """Return the names of actions that are never enabled within the depth.

    A guard that is never true would make the proof vacuous.
    """
    solver = z3.Solver()
    solver.set('timeout', TIMEOUT_MS)
    run = [system.variables('0')]
    solver.add(system.initial(run[0]))
    unused = dict(enumerate(system.actions))
    for depth in range(system.depth):
        run.append(system.variables(str(depth + 1)))
        solver.add(_transition(system, depth, run))
        chosen = z3.Int(f'action@{depth}')
        for number in tuple(unused):
            if _is_satisfiable(solver, chosen == number):
                unused.pop(number)
    return tuple(unused.values())


def prove(system: System) -> None:
    """Prove the properties for runs of any length by induction.

    Raise CheckFailedError if a proof obligation does not hold.
    """
    state = system.variables('before')
    _prove_implication(
        f'{system.name}: initial state',
        system.initial(state),
        system.invariant(state),
    )
    for name, action in system.actions.items():
        effect = action(state)
        after = {**state, **effect.changes}
        for input_name in system.inputs:
            after[input_name] = z3.Const(
                f'{input_name}@after', system.sorts[input_name]
            )
        _prove_implication(
            f'{system.name}: {name}',
            z3.And(system.invariant(state), effect.guard),
            system.invariant(after),
        )
    for proved_property, predicate in system.properties.items():
        _prove_implication(
            f'{system.name}: {proved_property.value}',
            system.invariant(state),
            predicate(state),
        )


def _prove_implication(obligation: str, premise: Any, conclusion: Any) -> None:
    solver = z3.Solver()
    solver.set('timeout', TIMEOUT_MS)
    solver.add(premise, z3.Not(conclusion))
    if _is_satisfiable(solver):
        raise CheckFailedError(
            f'{obligation} is not inductive: {solver.model()}'
        )


def _is_satisfiable(solver: z3.Solver, *assumptions: Any) -> bool:
    verdict = solver.check(*assumptions)
    if verdict == z3.unknown:
        raise CheckFailedError(f'undecided: {solver.reason_unknown()}')
    return bool(verdict == z3.sat)


def _transition(system: System, depth: int, run: list[dict[str, Any]]) -> Any:
    before, after = run[depth], run[depth + 1]
    chosen = z3.Int(f'action@{depth}')
    choices = []
    for number, action in enumerate(system.actions.values()):
        effect = action(before)
        frame_conditions = [
            after[name] == effect.changes.get(name, before[name])
            for name in system.sorts
            if name not in system.inputs
        ]
        choices.append(
            z3.And(chosen == number, effect.guard, *frame_conditions)
        )
    return z3.Or(*choices)


def _counterexample_steps(
    system: System, run: list[dict[str, Any]], model: Any
) -> Iterator[Step]:
    action_names = list(system.actions)
    for depth, (before, after) in enumerate(itertools.pairwise(run)):
        number = model.eval(z3.Int(f'action@{depth}'), True).as_long()
        changes = tuple(
            f'{name}={model.eval(after[name], True)}'
            for name, sort in system.sorts.items()
            if name not in system.inputs
            and not isinstance(sort, z3.ArraySortRef)
            and not z3.eq(
                model.eval(before[name], True), model.eval(after[name], True)
            )
        )
        yield Step(action_names[number], changes)
