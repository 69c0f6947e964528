"""Log events of the dispatch component."""

from marigoldhoist.core.events import declare_event

REQUEST_FAILED = declare_event(
    1901,
    'request_failed',
    'error',
    'A request failed with an internal error; it may have run.',
)
ADMISSION_FAILED = declare_event(
    1902,
    'admission_failed',
    'error',
    'A stage failed with an internal error; the request was not run.',
)
