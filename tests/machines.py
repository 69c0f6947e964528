"""How long state machines run."""

import os

from hypothesis import settings

SOAK_FACTOR = int(os.environ.get('MARIGOLDHOIST_SOAK_FACTOR', '1'))


def state_machine_settings(examples: int, steps: int) -> settings:
    """Return the settings of a machine; a soak multiplies its examples."""
    return settings(
        max_examples=examples * SOAK_FACTOR,
        stateful_step_count=steps,
        deadline=None,
    )
