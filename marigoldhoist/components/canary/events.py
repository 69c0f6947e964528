"""Log events of the canary component."""

from marigoldhoist.core.events import declare_event

ROLL_OUT_ORDERED = declare_event(
    3701, 'roll_out_ordered', 'info', 'The operator wants another version.'
)
ROLL_OUT_MOVED = declare_event(
    3702, 'roll_out_moved', 'info', 'The state of a roll-out changed.'
)
VERSION_FOUND_BAD = declare_event(
    3703,
    'version_found_bad',
    'warning',
    'The new version fails or is slow; it gets no more work here.',
)
EVIDENCE_PASSED_OVER = declare_event(
    3706,
    'evidence_passed_over',
    'warning',
    'What another daemon found cannot be read; it may be of another release.',
)
STATUS_WRITTEN = declare_event(
    3704, 'status_written', 'info', 'The state of a roll-out was stored.'
)
STATUS_NOT_WRITTEN = declare_event(
    3705,
    'status_not_written',
    'warning',
    'Storing a state failed or its outcome is unknown; it is read back.',
)
