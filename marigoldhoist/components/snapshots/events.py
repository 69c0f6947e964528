"""Log events of the snapshots component."""

from marigoldhoist.core.events import declare_event

SNAPSHOT_WRITTEN = declare_event(
    3001,
    'snapshot_written',
    'info',
    'A snapshot of a stream was appended to the log.',
)
SNAPSHOT_FAILED = declare_event(
    3002,
    'snapshot_failed',
    'warning',
    'The append of a snapshot was not confirmed; it is retried.',
)
SNAPSHOT_RESTORED = declare_event(
    3003,
    'snapshot_restored',
    'info',
    'The state of a stream was restored from a snapshot.',
)
SNAPSHOT_GARBLED = declare_event(
    3004,
    'snapshot_garbled',
    'warning',
    'A snapshot on the log is corrupt; it is skipped.',
)
