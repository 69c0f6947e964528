"""The deployments and the components that each of them runs.

The table deployment is configured by the table, which is replicated through
the log. The gateway deployment is configured by a single versioned record in
the platform's store.
"""

from typing import Final

TABLE: Final = 'table'
GATEWAY: Final = 'gateway'

# Subpackages of `marigoldhoist.components` that the gateway deployment loads.
# The table deployment loads all others.
GATEWAY_PACKAGES: Final = frozenset(
    (
        'configuration',
        'feeds',
        'directory',
        'gateway',
        'mirrors',
        'canary',
        'quarantine',
        'handover',
    )
)
