"""Log the file writes and new processes of a child interpreter.

The child imports this file as sitecustomize before anything else.
"""

import os
import sys
from typing import Any

WRITE_FLAGS = os.O_WRONLY | os.O_RDWR | os.O_CREAT
MUTATING_EVENTS = frozenset(('os.mkdir', 'os.rename', 'os.remove', 'os.rmdir'))
PROCESS_EVENTS = frozenset(
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
_audit_fd = os.open(
    os.environ['AUDIT_FILE'], os.O_WRONLY | os.O_APPEND | os.O_CREAT
)


def record_event(event: str, arguments: tuple[Any, ...]) -> None:
    """Log an audit event if it changes the file system or starts a process."""
    # An integer is a file descriptor, whose opening was already logged.
    is_path = bool(arguments) and not isinstance(arguments[0], int)
    is_write = event == 'open' and is_path and bool(arguments[2] & WRITE_FLAGS)
    if is_write or event in MUTATING_EVENTS:
        os.write(_audit_fd, f'write {arguments[0]}\n'.encode())
    elif event in PROCESS_EVENTS:
        os.write(_audit_fd, f'process {event}\n'.encode())


sys.addaudithook(record_event)
