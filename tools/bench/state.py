"""Measure the cost of a daemon's state by its size: `script/bench state`."""

import argparse
from collections.abc import Callable
from functools import partial

from marigoldhoist.core.events import configure_logs
from tools.bench.relay_idle import measure_idle
from tools.bench.state_hosts import measure_hosts
from tools.bench.state_peers import (
    measure_appends,
    measure_peers,
    measure_propagation,
)
from tools.bench.state_table import (
    measure_fold,
    measure_start,
    source_program,
)


def main() -> None:
    """Run the named parts of the benchmark, or all."""
    configure_logs('error', 'bench')
    parser = argparse.ArgumentParser(prog='script/bench state')
    parser.add_argument('--parts', default='')
    parser.add_argument('--binary', default='')
    options = parser.parse_args()
    program = (options.binary,) if options.binary else source_program()
    parts: dict[str, Callable[[], None]] = {
        'fold': measure_fold,
        'hosts': measure_hosts,
        'start': partial(measure_start, program),
        'peers': measure_peers,
        'idle': partial(measure_idle, program),
        'appends': measure_appends,
        'in-force': partial(measure_propagation, is_log_down=False),
        'in-force-cut': partial(measure_propagation, is_log_down=True),
    }
    for name in options.parts.split(',') if options.parts else parts:
        parts[name]()


if __name__ == '__main__':
    main()
