"""Log events of the health component."""

from marigoldhoist.core.events import declare_event

VERSION_HELD = declare_event(
    2901,
    'version_held',
    'error',
    'A version was found bad; this daemon sends it no new requests.',
)
LAST_VERSION_BAD = declare_event(
    2902,
    'last_version_bad',
    'error',
    'A version was found bad but is not held, because no other version of '
    'its model is usable.',
)
HOLD_ENDED = declare_event(
    2903,
    'hold_ended',
    'info',
    'The row of a locally held version changed, so the local hold ended and '
    'the table decides.',
)
