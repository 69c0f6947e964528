"""Search a system to a depth, and prove its invariant inductive."""

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
    """One step of a counterexample: the action and what it changed."""

    action: str
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Counterexample:
    """Steps that break a property."""

    broken: Property
    steps: tuple[Step, ...]


class CheckFailedError(Exception):
    """The solver gave up, or the invariant is not inductive."""


def search(system: System) -> Counterexample | None:
    """Return the shortest run that breaks a property, within the depth."""
    solver = z3.Solver()
    solver.set('timeout', TIMEOUT_MS)
    run = [system.variables('0')]
    solver.add(system.start(run[0]))
    for depth in range(system.depth + 1):
        for broken, holds in system.properties.items():
            solver.push()
            solver.add(z3.Not(holds(run[-1])))
            if _decide(solver):
                return Counterexample(
                    broken, tuple(_steps(system, run, solver.model()))
                )
            solver.pop()
        run.append(system.variables(str(depth + 1)))
        solver.add(_transition(system, depth, run))
    return None


def unused_actions(system: System) -> tuple[str, ...]:
    """Return the actions that no run within the depth takes.

    A guard that is never true would make a proof worth nothing.
    """
    solver = z3.Solver()
    solver.set('timeout', TIMEOUT_MS)
    run = [system.variables('0')]
    solver.add(system.start(run[0]))
    unused = dict(enumerate(system.actions))
    for depth in range(system.depth):
        run.append(system.variables(str(depth + 1)))
        solver.add(_transition(system, depth, run))
        chosen = z3.Int(f'action@{depth}')
        for number in tuple(unused):
            if _decide(solver, chosen == number):
                unused.pop(number)
    return tuple(unused.values())


def prove(system: System) -> None:
    """Prove the properties for runs of any length, or CheckFailedError."""
    state = system.variables('before')
    _must_hold(
        f'{system.name}: start', system.start(state), system.invariant(state)
    )
    for name, action in system.actions.items():
        effect = action(state)
        after = {**state, **effect.changes}
        for fresh in system.inputs:
            after[fresh] = z3.Const(f'{fresh}@after', system.sorts[fresh])
        _must_hold(
            f'{system.name}: {name}',
            z3.And(system.invariant(state), effect.guard),
            system.invariant(after),
        )
    for proved, holds in system.properties.items():
        _must_hold(
            f'{system.name}: {proved.value}',
            system.invariant(state),
            holds(state),
        )


def _must_hold(what: str, given: Any, goal: Any) -> None:
    solver = z3.Solver()
    solver.set('timeout', TIMEOUT_MS)
    solver.add(given, z3.Not(goal))
    if _decide(solver):
        raise CheckFailedError(f'{what} is not inductive: {solver.model()}')


def _decide(solver: z3.Solver, *assumptions: Any) -> bool:
    answer = solver.check(*assumptions)
    if answer == z3.unknown:
        raise CheckFailedError(f'undecided: {solver.reason_unknown()}')
    return bool(answer == z3.sat)


def _transition(system: System, depth: int, run: list[dict[str, Any]]) -> Any:
    before, after = run[depth], run[depth + 1]
    chosen = z3.Int(f'action@{depth}')
    choices = []
    for number, action in enumerate(system.actions.values()):
        effect = action(before)
        kept = [
            after[name] == effect.changes.get(name, before[name])
            for name in system.sorts
            if name not in system.inputs
        ]
        choices.append(z3.And(chosen == number, effect.guard, *kept))
    return z3.Or(*choices)


def _steps(
    system: System, run: list[dict[str, Any]], model: Any
) -> Iterator[Step]:
    names = list(system.actions)
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
        yield Step(names[number], changes)
