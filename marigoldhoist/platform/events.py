"""Log events of the platform's adapter."""

from marigoldhoist.core.events import declare_event

DAEMON_STARTED = declare_event(
    3901, 'daemon_started', 'info', 'The settings were read.'
)
RECORD_UNREADABLE = declare_event(
    3902,
    'record_unreadable',
    'warning',
    'A record in the store is not what its key promises; it is passed over.',
)
SETTINGS_RELOADED = declare_event(
    3903, 'settings_reloaded', 'info', 'The settings file was read again.'
)
SETTINGS_REJECTED = declare_event(
    3904,
    'settings_rejected',
    'error',
    'The settings file is not valid; the settings at hand stay.',
)
DAEMON_STOPPED = declare_event(
    3905, 'daemon_stopped', 'info', 'The daemon ends.'
)
