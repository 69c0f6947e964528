"""Log events of the platform_log component."""

from marigoldhoist.core.events import declare_event

LOG_UNREACHABLE = declare_event(
    1101, 'log_unreachable', 'warning', 'The platform log does not answer.'
)
LOG_REACHABLE = declare_event(
    1102, 'log_reachable', 'info', 'The platform log answers again.'
)
LOG_SHORTENED = declare_event(
    1103,
    'log_shortened',
    'error',
    'The log lost records that were folded; the state is kept.',
)
LOG_GAP = declare_event(
    1104,
    'log_gap',
    'error',
    'Records expired before they were read; a snapshot is needed.',
)
FOLD_FAILED = declare_event(
    1105, 'fold_failed', 'error', 'A record could not be folded; passed over.'
)
UNKNOWN_RECORD = declare_event(
    1106,
    'unknown_record',
    'warning',
    'A record of an unknown kind or newer format was passed over.',
)
LOG_REJOINED = declare_event(
    1107,
    'log_rejoined',
    'warning',
    'The state was put on the log again after the log had lost its tail.',
)
PARTS_FAILED = declare_event(
    1108,
    'parts_failed',
    'error',
    'A dump could not be restored; the state before it is kept.',
)
