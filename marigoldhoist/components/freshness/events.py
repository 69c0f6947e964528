"""Log events of the freshness component."""

from marigoldhoist.core.events import declare_event

PAUSE_NOTICED = declare_event(
    3201,
    'pause_noticed',
    'warning',
    'The process was paused; requests are refused until the table is current.',
)
CAUGHT_UP = declare_event(
    3202, 'caught_up', 'info', 'The table is up to date with the log or a peer.'
)
SERVING_STALE = declare_event(
    3203,
    'serving_stale',
    'warning',
    'Neither the log nor a peer could be read in time after a pause; requests '
    'are served from the possibly stale table.',
)
