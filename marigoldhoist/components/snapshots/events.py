"""Log events of the snapshots component."""

from marigoldhoist.core.events import declare_event

SNAPSHOT_WRITTEN = declare_event(
    3001, 'snapshot_written', 'info', 'A snapshot of a stream is on the log.'
)
SNAPSHOT_FAILED = declare_event(
    3002,
    'snapshot_failed',
    'warning',
    'A snapshot could not be appended; it is tried again.',
)
SNAPSHOT_RESTORED = declare_event(
    3003,
    'snapshot_restored',
    'info',
    'The state of a stream was taken from a snapshot.',
)
SNAPSHOT_GARBLED = declare_event(
    3004,
    'snapshot_garbled',
    'warning',
    'A snapshot on the log is incomplete or garbled; passed over.',
)
