"""Log events of the platform adapter."""

from marigoldhoist.core.events import declare_event

DAEMON_STARTED = declare_event(
    3901,
    'daemon_started',
    'info',
    'The daemon has loaded its settings and is starting.',
)
RECORD_UNREADABLE = declare_event(
    3902,
    'record_unreadable',
    'warning',
    'A record in the store could not be decoded and was ignored; if it is a '
    "replica's registration, the replica is removed.",
)
SETTINGS_RELOADED = declare_event(
    3903,
    'settings_reloaded',
    'info',
    'The settings file is valid; it takes effect at the next start.',
)
SETTINGS_REJECTED = declare_event(
    3904,
    'settings_rejected',
    'error',
    'The settings file is invalid; the loaded settings stay in effect.',
)
DAEMON_STOPPED = declare_event(
    3905, 'daemon_stopped', 'info', 'The daemon has shut down.'
)
RECORD_FAILED = declare_event(
    3906,
    'record_failed',
    'error',
    'A record in the store could not be applied because of an unexpected '
    'error; the records after it are applied.',
)
