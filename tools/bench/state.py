"""Measure what a daemon's state costs, each against a size."""

import argparse
from collections.abc import Callable
from functools import partial

from marigoldhoist.core.events import configure_logs
from tools.bench.relay_idle import measure_idle
from tools.bench.state_hosts import measure_hosts
from tools.bench.state_peers import (
    measure_appends,
    measure_in_force,
    measure_peers,
)
from tools.bench.state_table import (
    measure_fold,
    measure_start,
    source_program,
)


def main() -> None:
    """Run the named parts, or all."""
    configure_logs('error', 'bench')
    parser = argparse.ArgumentParser(prog='script/bench state')
    parser.add_argument('--parts', default='')
    parser.add_argument('--binary', default='')
    chosen = parser.parse_args()
    program = (chosen.binary,) if chosen.binary else source_program()
    parts: dict[str, Callable[[], None]] = {
        'fold': measure_fold,
        'hosts': measure_hosts,
        'start': partial(measure_start, program),
        'peers': measure_peers,
        'idle': partial(measure_idle, program),
        'appends': measure_appends,
        'in-force': partial(measure_in_force, is_cut=False),
        'in-force-cut': partial(measure_in_force, is_cut=True),
    }
    for name in chosen.parts.split(',') if chosen.parts else parts:
        parts[name]()


if __name__ == '__main__':
    main()
