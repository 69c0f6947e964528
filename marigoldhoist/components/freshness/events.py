"""Log events of the freshness component."""

from marigoldhoist.core.events import declare_event

PAUSE_NOTICED = declare_event(
    3201,
    'pause_noticed',
    'warning',
    'The process stood still; requests are refused until it has caught up.',
)
CAUGHT_UP = declare_event(
    3202, 'caught_up', 'info', 'The table is level with the log or a peer.'
)
SERVING_STALE = declare_event(
    3203,
    'serving_stale',
    'warning',
    'Neither log nor peers answer; the table at hand is served.',
)
