"""Runs first in a child interpreter; notes writes and new processes."""

import os
import sys
from typing import Any

WRITES = os.O_WRONLY | os.O_RDWR | os.O_CREAT
CHANGES = frozenset(('os.mkdir', 'os.rename', 'os.remove', 'os.rmdir'))
PROCESSES = frozenset(
    (
        'os.exec',
        'os.fork',
        'os.forkpty',
        'os.posix_spawn',
        'os.spawn',
        'os.system',
        'subprocess.Popen',
    )
)
_notes = os.open(
    os.environ['AUDIT_FILE'], os.O_WRONLY | os.O_APPEND | os.O_CREAT
)


def note(event: str, arguments: tuple[Any, ...]) -> None:
    """Note an audit event of the interpreter."""
    # A number is a descriptor that was opened, and noted, by another call.
    is_path = bool(arguments) and not isinstance(arguments[0], int)
    is_write = event == 'open' and is_path and bool(arguments[2] & WRITES)
    if is_write or event in CHANGES:
        os.write(_notes, f'write {arguments[0]}\n'.encode())
    elif event in PROCESSES:
        os.write(_notes, f'process {event}\n'.encode())


sys.addaudithook(note)
