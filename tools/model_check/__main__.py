"""Check the specification: `script/model_check [--mutant NAME]`."""

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

CHECKED = (table, claims, leases, bills)
EXIT_BROKEN = 1
EXIT_USAGE = 2


def main(arguments: list[str]) -> int:
    """Return the exit code: 0 only where every property is proved."""
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
    return 0 if all(checks) else EXIT_BROKEN


def spec_by_mutant() -> dict[str, str]:
    """Return the specification that each mutant belongs to."""
    return {
        mutant: spec.name
        for spec in specifications_by_name.values()
        for mutant in spec.mutants
    }


def check_mutant(mutant: str) -> int:
    """Search a broken protocol; finding nothing is a failure too."""
    name = spec_by_mutant().get(mutant)
    if name is None:
        print(f'no mutant {mutant!r}; see --list-mutants', file=sys.stderr)
        return EXIT_USAGE
    system = specifications_by_name[name].build(mutant)
    found = search(system)
    if found is None:
        print(f'{mutant}: nothing found in {system.depth} steps')
        return EXIT_USAGE
    print_counterexample(mutant, found)
    return EXIT_BROKEN


def check(system: System) -> bool:
    """Search and prove one system; print what holds and how it is known."""
    begun_s = time.monotonic()
    found = search(system)
    if found is not None:
        print_counterexample(system.name, found)
        return False
    unused = unused_actions(system)
    if unused:
        print(f'{system.name}: no run takes {", ".join(unused)}')
        return False
    searched_s = time.monotonic() - begun_s
    try:
        prove(system)
    except CheckFailedError as error:
        print(f'{system.name}: {error}')
        return False
    proved_s = time.monotonic() - begun_s - searched_s
    for holds in system.properties:
        print(
            f'{system.name}: {holds.value} holds:'
            f' inductive proof ({proved_s:.2f} s),'
            f' search to {system.depth} steps ({searched_s:.2f} s)'
        )
    return True


def print_counterexample(name: str, found: Counterexample) -> None:
    """Print each step of a run that breaks a property."""
    print(f'{name}: {found.broken.value} is broken after')
    for number, step in enumerate(found.steps, start=1):
        print(f'  {number}. {step.action}: {", ".join(step.changes)}')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
