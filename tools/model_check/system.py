"""Transition systems, and the registry of those that are checked."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping
from functools import partial
from typing import Any

import z3

from tools.model_check.properties import Property

State = Mapping[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """When an action may happen, and what it changes."""

    guard: Any
    changes: dict[str, Any]


Action = Callable[[State], Effect]
Predicate = Callable[[State], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class System:
    """A protocol: sorts of its variables, start, actions and properties.

    Inputs are variables that each step chooses anew. The invariant is what
    makes the properties inductive; it implies them.
    """

    name: str
    sorts: dict[str, Any]
    inputs: frozenset[str]
    start: Predicate
    actions: dict[str, Action]
    properties: dict[Property, Predicate]
    invariant: Predicate
    depth: int

    def variables(self, step: str) -> dict[str, Any]:
        """Return constants of every variable for one step."""
        return {
            name: z3.Const(f'{name}@{step}', sort)
            for name, sort in self.sorts.items()
        }


ProcessStep = Callable[[int, State], Effect]


def actions_of(
    steps: Iterable[ProcessStep], processes: int
) -> dict[str, Action]:
    """Return each step of each process as an action with a name of its own."""
    chosen = tuple(steps)
    return {
        f'{step.__name__} by {process}': partial(step, process)
        for process in range(processes)
        for step in chosen
    }


Builder = Callable[[str], System]


@dataclasses.dataclass(frozen=True, slots=True)
class Specification:
    """A builder of a system, and the broken protocols it can build."""

    name: str
    mutants: tuple[str, ...]
    build: Builder


specifications_by_name: dict[str, Specification] = {}


def specification(
    name: str, mutants: tuple[str, ...]
) -> Callable[[Builder], Builder]:
    """Register a builder, which takes a mutant's name or an empty one."""

    def register(build: Builder) -> Builder:
        specifications_by_name[name] = Specification(name, mutants, build)
        return build

    return register


def all_of(*conditions: Any) -> Any:
    """Return the conjunction."""
    return z3.And(*conditions)


def sorts_of(names: Iterable[str], sort: Any) -> dict[str, Any]:
    """Return variables that have one sort."""
    return {name: sort for name in names}


def per_process(
    names: tuple[str, ...], count: int, sort: Any
) -> dict[str, Any]:
    """Return the sorts of variables that each process has."""
    return {
        f'{name}{process}': sort for name in names for process in range(count)
    }
