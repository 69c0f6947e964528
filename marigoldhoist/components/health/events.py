"""Log events of the health component."""

from marigoldhoist.core.events import declare_event

VERSION_HELD = declare_event(
    2901,
    'version_held',
    'error',
    'A version was found bad; it gets no new work from now on.',
)
LAST_VERSION_BAD = declare_event(
    2902,
    'last_version_bad',
    'error',
    'A version was found bad but is the last that takes work; it is kept.',
)
HOLD_ENDED = declare_event(
    2903,
    'hold_ended',
    'info',
    'The table now says whether a held version takes work.',
)
