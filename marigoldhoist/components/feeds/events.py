"""Log events of the feeds component."""

from marigoldhoist.core.events import declare_event

STORE_LOST = declare_event(
    3401, 'store_lost', 'warning', 'Calls to the store fail for this topic.'
)
STORE_REGAINED = declare_event(
    3402,
    'store_regained',
    'info',
    'Calls to the store succeed again for this topic.',
)
ERA_CHANGED = declare_event(
    3404,
    'store_era_changed',
    'warning',
    'The store lost records and assigns their offsets again; the topic is '
    'read anew and its beliefs are kept until their writers renewed them.',
)
ERA_REJECTED = declare_event(
    3405,
    'store_era_rejected',
    'warning',
    'An answer without an era or of an earlier one is ignored.',
)
TOPIC_READ_ANEW = declare_event(
    3403,
    'topic_read_anew',
    'info',
    'Older records are gone; the newest record of every key is read instead.',
)
READ_TRUNCATED = declare_event(
    3407,
    'read_truncated',
    'info',
    'A source had more records than fit into its answer; the records are not '
    'confirmed as the newest until the rest was read.',
)
LATE_READ_FAILED = declare_event(
    3406,
    'late_read_failed',
    'error',
    'A read whose answer was not waited for failed unexpectedly.',
)
