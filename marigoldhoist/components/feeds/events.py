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
TOPIC_READ_ANEW = declare_event(
    3403,
    'topic_read_anew',
    'info',
    'Older records are gone; the newest record of every key is read instead.',
)
