"""Cost of one daemon that has no requests and default settings."""

import time

from tools.bench.relay_environment import RelayEnvironment

TOKENS = 1
TOKEN_MS = 39.0
SAMPLE_S = 10.0
SAMPLES = 3
PER_CENT = 100
MB = 1_000_000


def measure_idle(program: tuple[str, ...]) -> None:
    """Print the processor time and memory of an idle daemon."""
    world = RelayEnvironment(TOKENS, TOKEN_MS, program)
    with world.running() as daemon:
        for _ in range(SAMPLES):
            before = daemon.cpu_times()
            time.sleep(SAMPLE_S)
            after = daemon.cpu_times()
            spent_s = after.user + after.system - before.user - before.system
            print(
                f'idle: {spent_s / SAMPLE_S * PER_CENT:5.2f}% of a core  '
                f'{daemon.memory_info().rss / MB:5.1f} MB  '
                f'{daemon.num_threads()} threads'
            )
