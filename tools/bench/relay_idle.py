"""Measure the cost of an idle daemon with default settings."""

import time

from tools.bench.relay_environment import RelayEnvironment

TOKENS = 1
TOKEN_MS = 39.0
SAMPLE_S = 10.0
SAMPLES = 3
PERCENT = 100
MB = 1_000_000


def measure_idle(program: tuple[str, ...]) -> None:
    """Print the processor time, memory and threads of an idle daemon."""
    environment = RelayEnvironment(TOKENS, TOKEN_MS, program)
    with environment.running() as daemon:
        for _ in range(SAMPLES):
            cpu_before = daemon.cpu_times()
            time.sleep(SAMPLE_S)
            cpu_after = daemon.cpu_times()
            cpu_s = (
                cpu_after.user
                + cpu_after.system
                - cpu_before.user
                - cpu_before.system
            )
            print(
                f'idle: {cpu_s / SAMPLE_S * PERCENT:5.2f}% of a core  '
                f'{daemon.memory_info().rss / MB:5.1f} MB  '
                f'{daemon.num_threads()} threads'
            )
