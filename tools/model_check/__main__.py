"""Check all specifications: `script/model_check [--mutant NAME]`."""

import argparse
import sys
import time

from tools.model_check import bills, claims, leases, table
from tools.model_check.checker import (
    CheckFailedError,
    Counterexample,
    prove,
    search,
    unused_actions,
)
from tools.model_check.system import System, specifications_by_name

# Importing a module registers its specification.
SPECIFICATION_MODULES = (table, claims, leases, bills)
EXIT_VIOLATED = 1
EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Return the exit code, which is 0 only if every property is proved."""
    parser = argparse.ArgumentParser(prog='script/model_check')
    parser.add_argument('--mutant', default='')
    parser.add_argument('--list-mutants', action='store_true')
    options = parser.parse_args(arguments)
    if options.list_mutants:
        print('\n'.join(spec_by_mutant()))
        return 0
    if options.mutant:
        return check_mutant(options.mutant)
    checks = [check(spec.build('')) for spec in specifications_by_name.values()]
    return 0 if all(checks) else EXIT_VIOLATED


def spec_by_mutant() -> dict[str, str]:
    """Return the name of the specification of each mutant."""
    return {
        mutant: spec.name
        for spec in specifications_by_name.values()
        for mutant in spec.mutants
    }


def check_mutant(mutant: str) -> int:
    """Search for a counterexample of a mutant and return the exit code.

    A mutant without a counterexample is a failure of the check itself.
    """
    name = spec_by_mutant().get(mutant)
    if name is None:
        print(f'no mutant {mutant!r}; see --list-mutants', file=sys.stderr)
        return EXIT_USAGE
    system = specifications_by_name[name].build(mutant)
    counterexample = search(system)
    if counterexample is None:
        print(f'{mutant}: no counterexample within {system.depth} steps')
        return EXIT_USAGE
    print_counterexample(mutant, counterexample)
    return EXIT_VIOLATED


def check(system: System) -> bool:
    """Check one system by search and proof; return whether it passed."""
    started_s = time.monotonic()
    counterexample = search(system)
    if counterexample is not None:
        print_counterexample(system.name, counterexample)
        return False
    unused = unused_actions(system)
    if unused:
        print(f'{system.name}: unreachable actions: {", ".join(unused)}')
        return False
    searched_s = time.monotonic() - started_s
    try:
        prove(system)
    except CheckFailedError as error:
        print(f'{system.name}: {error}')
        return False
    proved_s = time.monotonic() - started_s - searched_s
    for proved_property in system.properties:
        print(
            f'{system.name}: {proved_property.value} holds:'
            f' inductive proof ({proved_s:.2f} s),'
            f' search to {system.depth} steps ({searched_s:.2f} s)'
        )
    return True


def print_counterexample(name: str, counterexample: Counterexample) -> None:
    """Print the steps that lead to a violated property."""
    print(f'{name}: {counterexample.violated.value} is violated after')
    for number, step in enumerate(counterexample.steps, start=1):
        print(f'  {number}. {step.action}: {", ".join(step.changes)}')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
