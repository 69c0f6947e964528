"""Which components a deployment runs.

The table deployment is driven by the table on the log. The gateway deployment
is driven by a configuration that the platform's store holds whole.
"""

from typing import Final

TABLE: Final = 'table'
GATEWAY: Final = 'gateway'

# The folders of `components` that only the gateway deployment runs.
GATEWAY_FOLDERS: Final = frozenset(
    (
        'configuration',
        'feeds',
        'directory',
        'gateway',
        'mirrors',
        'canary',
    )
)
