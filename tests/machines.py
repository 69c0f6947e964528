"""Hypothesis settings of the rule-based state machine tests."""

import os

from hypothesis import settings

SOAK_FACTOR = int(os.environ.get('MARIGOLDHOIST_SOAK_FACTOR', '1'))


def state_machine_settings(examples: int, steps: int) -> settings:
    """Return settings with `examples` times MARIGOLDHOIST_SOAK_FACTOR examples.

    Each example runs at most `steps` rules.
    """
    return settings(
        max_examples=examples * SOAK_FACTOR,
        stateful_step_count=steps,
        deadline=None,
    )
