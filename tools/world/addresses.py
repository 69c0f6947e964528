"""Allocate loopback addresses from a range that depends on the process id."""

import itertools
import os

# An address has 24 free bits: a process slot, then a counter.
LOOPBACK_PREFIX = 127
COUNTER_BITS = 10
BYTE_VALUES = 256
PROCESS_SLOTS = 1 << 14

_counter = itertools.count(1)


def next_address() -> str:
    """Return the next address in 127.0.0.0/8 from this process's range.

    Processes whose ids are equal modulo PROCESS_SLOTS share a range, which
    repeats after 1024 addresses.
    """
    slot = os.getpid() % PROCESS_SLOTS
    number = (slot << COUNTER_BITS) + next(_counter) % (1 << COUNTER_BITS)
    high, low = divmod(number, BYTE_VALUES)
    second, third = divmod(high, BYTE_VALUES)
    return f'{LOOPBACK_PREFIX}.{second}.{third}.{low}'
