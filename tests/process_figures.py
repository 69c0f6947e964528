"""Memory and descriptors of a running process, from the kernel."""

import pathlib

KIB = 1024


def peak_memory_bytes(pid: int) -> int:
    """Return the largest resident size that a process has had."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    for line in status.splitlines():
        name, _, text = line.partition(':')
        if name == 'VmHWM':
            return int(text.split()[0]) * KIB
    raise AssertionError(f'process {pid} has ended')


def open_descriptors(pid: int) -> int:
    """Return the number of open descriptors of a process."""
    return len(tuple(pathlib.Path(f'/proc/{pid}/fd').iterdir()))
