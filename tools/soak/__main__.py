"""Run the fault soak for some seeds and print the violated guarantees."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
from collections.abc import Iterator

from tools.soak.answer_faults import NEWEST_GENERATION
from tools.soak.world import Outcome, SoakWorld

RANDOM_SEED_LIMIT = 1_000_000
KEPT_SEEDS_PATH = pathlib.Path(__file__).parent / 'kept_seeds.txt'


def main() -> int:
    """Run the seeds; return 1 if any of them violated a guarantee."""
    arguments = _arguments()
    if arguments.kept:
        return _report(list(_run_kept(pathlib.Path(tempfile.mkdtemp()))))
    folder = pathlib.Path(arguments.logs or tempfile.mkdtemp())
    first = arguments.first_seed
    if first is None:
        first = random.SystemRandom().randrange(RANDOM_SEED_LIMIT)
    return _report(
        [
            _run(seed, folder / f'seed-{seed}', arguments.seconds)
            for seed in range(first, first + arguments.seeds)
        ]
    )


def _report(outcomes: list[Outcome]) -> int:
    failed = [outcome for outcome in outcomes if outcome.violations]
    print(f'{len(outcomes) - len(failed)} passed, {len(failed)} failed')
    return 1 if failed else 0


def _run_kept(folder: pathlib.Path) -> Iterator[Outcome]:
    """Run the seeds that have failed before."""
    for line in KEPT_SEEDS_PATH.read_text(encoding='utf-8').splitlines():
        if not line.startswith('#'):
            seed, seconds, generation, _ = line.split(' ', 3)
            yield _run(
                int(seed),
                folder / f'seed-{seed}',
                float(seconds),
                int(generation),
            )


def _run(
    seed: int,
    folder: pathlib.Path,
    duration_s: float,
    generation: int = NEWEST_GENERATION,
) -> Outcome:
    folder.mkdir(parents=True, exist_ok=True)
    world = SoakWorld(seed, folder, generation)
    outcome = asyncio.run(world.run(duration_s))
    print(
        f'seed {seed}: {outcome.calls} calls, {outcome.completed} completed, '
        f'{len(outcome.faults)} faults, {len(outcome.violations)} violations; '
        f'logs in {folder}',
        flush=True,
    )
    for line in outcome.violations:
        print(f'  {line}')
    return outcome


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='script/soak faults')
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--first-seed', type=int)
    parser.add_argument('--logs')
    parser.add_argument('--kept', action='store_true')
    return parser.parse_args()


sys.exit(main())
