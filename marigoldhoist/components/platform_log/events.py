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
    'The log lost records that were already applied; the state is kept.',
)
LOG_GAP = declare_event(
    1104,
    'log_gap',
    'error',
    'Records expired before they were read; a snapshot is required.',
)
FOLD_FAILED = declare_event(
    1105, 'fold_failed', 'error', 'Applying a record failed; it is skipped.'
)
UNKNOWN_RECORD = declare_event(
    1106,
    'unknown_record',
    'warning',
    'A record of a newer format was skipped.',
)
LOG_REJOINED = declare_event(
    1107,
    'log_rejoined',
    'warning',
    'A state from the log was adopted after the log had lost its tail.',
)
PARTS_FAILED = declare_event(
    1108,
    'parts_failed',
    'error',
    'A snapshot could not be restored; the previous state is kept.',
)
