"""Transition systems and the registry of the specifications."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import z3

from tools.model_check.properties import Property

State = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """The enabling condition of an action and the variables it assigns."""

    guard: Any
    changes: dict[str, Any]


Action = Callable[[State], Effect]
Predicate = Callable[[State], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """A protocol as a transition system.

    `sorts` holds the z3 sort of each state variable. `inputs` are the variables
    that take an arbitrary value in every step. `initial` is the predicate of
    the initial states. `invariant` is inductive and implies the properties.
    `depth` is the number of steps to which the search goes.
    """

    name: str
    sorts: dict[str, Any]
    inputs: frozenset[str]
    initial: Predicate
    actions: dict[str, Action]
    properties: dict[Property, Predicate]
    invariant: Predicate
    depth: int

    def variables(self, step: str) -> dict[str, Any]:
        """Return a z3 constant for the value of each variable at a step."""
        return {
            name: z3.Const(f'{name}@{step}', sort)
            for name, sort in self.sorts.items()
        }


ProcessStep = Callable[[int, State], Effect]


def actions_of(
    steps: Iterable[ProcessStep], processes: int
) -> dict[str, Action]:
    """Return an action for each step of each process, by action name."""
    process_steps = tuple(steps)
    return {
        f'{step.__name__} by {process}': partial(step, process)
        for process in range(processes)
        for step in process_steps
    }


Builder = Callable[[str], System]


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """A named protocol and its mutants.

    A mutant is a deliberately faulty variant that the checker has to reject.
    `build` takes the name of a mutant, or an empty one for the protocol itself.
    """

    name: str
    mutants: tuple[str, ...]
    build: Builder


specifications_by_name: dict[str, Specification] = {}


def specification(
    name: str, mutants: tuple[str, ...]
) -> Callable[[Builder], Builder]:
    """Register the decorated builder as a specification."""

    def register(build: Builder) -> Builder:
        specifications_by_name[name] = Specification(name, mutants, build)
        return build

    return register


def all_of(*conditions: Any) -> Any:
    """Return the conjunction of the conditions."""
    return z3.And(*conditions)


def sorts_of(names: Iterable[str], sort: Any) -> dict[str, Any]:
    """Return the same sort for each of the names."""
    return {name: sort for name in names}


def per_process(
    names: tuple[str, ...], count: int, sort: Any
) -> dict[str, Any]:
    """Return the sorts of variables of which each process has its own."""
    return {
        f'{name}{process}': sort for name in names for process in range(count)
    }
