"""Numbered log events of the streams component."""

from marigoldhoist.core.events import declare_event

STREAM_CUT = declare_event(
    3101,
    'stream_cut',
    'warning',
    'An upstream broke off a streamed answer or went silent in it.',
)
