"""Log events of the hosts component."""

from marigoldhoist.core.events import declare_event

HOSTS_UNREADABLE = declare_event(
    1301,
    'hosts_unreadable',
    'warning',
    'The host list cannot be read; the last list read stays in use.',
)
