"""Constants of the table component."""

from typing import Final

COMPONENT: Final = 'table'

CHANGE_KIND: Final = 'table.change'
NO_REVISION: Final = -1

WORKSPACE: Final = 'workspace'
MODEL: Final = 'model'
VERSION: Final = 'version'
SESSION: Final = 'session'
SERVICE: Final = 'service'

AUDIT_ENTRIES: Final = 1000
CHANGE_TIMEOUT_S: Final = 5.0
EVERY_VERSION: Final = '*'
# As floats, so that a row read back is encoded as it was before.
NO_LIMIT: Final = float(0)
NO_TARGET: Final = float(0)
