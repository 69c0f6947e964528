"""Log events of the ratings component."""

from marigoldhoist.core.events import declare_event

RATINGS_UNREADABLE = declare_event(
    2801,
    'ratings_unreadable',
    'warning',
    'Ratings cannot be read; quality is learnt from doubts alone.',
)
RATINGS_READABLE = declare_event(
    2802, 'ratings_readable', 'info', 'Ratings can be read again.'
)
