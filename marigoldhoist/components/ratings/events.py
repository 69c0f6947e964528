"""Log events of the ratings component."""

from marigoldhoist.core.events import declare_event

RATINGS_UNREADABLE = declare_event(
    2801,
    'ratings_unreadable',
    'warning',
    'Ratings cannot be fetched; quality is estimated from doubt scores only.',
)
RATINGS_READABLE = declare_event(
    2802, 'ratings_readable', 'info', 'Ratings can be fetched again.'
)
