"""Constants of the table component."""

from typing import Final

COMPONENT: Final = 'table'

CHANGE_KIND: Final = 'table.change'
# Revision of an empty table, and of a row that does not exist.
NO_REVISION: Final = -1

# Kinds of rows: the part of a row's key before the first slash.
WORKSPACE: Final = 'workspace'
MODEL: Final = 'model'
VERSION: Final = 'version'
SESSION: Final = 'session'
SERVICE: Final = 'service'

# Length of the audit trail. Duplicates of a record are recognized only while
# its entry is in the trail.
MAX_AUDIT_ENTRIES: Final = 1000
# Limit for the append of a change, and again for reading it back.
CHANGE_TIMEOUT_S: Final = 5.0
# In a workspace's list of versions: all versions of the model are allowed.
EVERY_VERSION: Final = '*'
# Zero turns a limit or a target off. Floats, because an int default would be
# encoded as `0` at first and as `0.0` after the row was decoded.
NO_LIMIT: Final = float(0)
NO_TARGET: Final = float(0)
