"""Log events of the configuration component."""

from marigoldhoist.core.events import declare_event

CONFIGURATION_ADOPTED = declare_event(
    3301,
    'configuration_adopted',
    'info',
    'A newer version of the configuration is in force.',
)
OLDER_CONFIGURATION_PASSED_OVER = declare_event(
    3302,
    'older_configuration_passed_over',
    'warning',
    'A version older than the one in force was received and ignored.',
)
