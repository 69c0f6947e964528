"""Give out loopback addresses that no other process of this machine uses."""

import itertools
import os

LOOPBACK = 127
COUNTER_BITS = 10
BYTE = 256
PROCESS_SLOTS = 1 << 14

_counter = itertools.count(1)


def next_address() -> str:
    """Return an address of 127.0.0.0/8 that is this process's alone."""
    slot = os.getpid() % PROCESS_SLOTS
    number = (slot << COUNTER_BITS) + next(_counter) % (1 << COUNTER_BITS)
    high, low = divmod(number, BYTE)
    second, third = divmod(high, BYTE)
    return f'{LOOPBACK}.{second}.{third}.{low}'
