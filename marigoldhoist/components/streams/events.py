"""Log events of the streams component."""

from marigoldhoist.core.events import declare_event

STREAM_CUT = declare_event(
    3101,
    'stream_cut',
    'warning',
    'A streamed response was cut short or stalled at the upstream.',
)
