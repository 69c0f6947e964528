"""Rows and changes of the table, in the format that operators write.

The key of a row is `kind/name`. The name of a version is `model/version`, the
name of a session `workspace/session`.
"""

import dataclasses
import enum
from typing import Annotated

import msgspec

from marigoldhoist.components.table.const import (
    EVERY_VERSION,
    MODEL,
    NO_LIMIT,
    NO_REVISION,
    NO_TARGET,
    SERVICE,
    SESSION,
    VERSION,
    WORKSPACE,
)
from marigoldhoist.core.identity import Name

Share = Annotated[int, msgspec.Meta(ge=0, le=10_000)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Amount = Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Digest = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
RowKey = Annotated[str, msgspec.Meta(pattern='^[a-z]+/.{1,200}$')]


PER_CENT = 100


class VersionState(enum.Enum):
    """Whether a version receives requests; WITHDRAWN is final."""

    LIVE = 'live'
    HELD = 'held'
    WITHDRAWN = 'withdrawn'


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all rows."""


class LimitColumns(Row, frozen=True):
    """Limits of a workspace or a model; zero means no limit."""

    requests_per_s: Amount = NO_LIMIT
    concurrent: Annotated[int, msgspec.Meta(ge=0)] = 0
    tokens_per_s: Amount = NO_LIMIT
    spend_per_day: Amount = NO_LIMIT


class WorkspaceRow(Row, frozen=True):
    """API keys, permissions and limits of a workspace.

    Key digests are SHA-256 in hexadecimal.
    """

    key_digests: tuple[Digest, ...]
    versions_by_model: dict[str, tuple[str, ...]] = {}
    services: tuple[str, ...] = ()
    quality_target: Fraction = NO_TARGET
    first_token_ms: Milliseconds = 30_000
    limits: LimitColumns = LimitColumns()

    def allows(self, model: str, version: str) -> bool:
        """Return whether the workspace may use the version."""
        allowed = self.versions_by_model.get(model, ())
        return EVERY_VERSION in allowed or version in allowed


class RollOutState(enum.Enum):
    """State of a roll-out; only a RUNNING one advances automatically."""

    RUNNING = 'running'
    STOPPED = 'stopped'
    REVERTED = 'reverted'
    DONE = 'done'


Step = Annotated[int, msgspec.Meta(ge=1, le=100)]


class RollOut(Row, frozen=True):
    """A gradual roll-out of a version; steps are per cent of the requests.

    A step ends once its dwell time has passed and the version has given at
    least `least_answers` answers in it. A step that has too few answers after
    ten dwell times stops the roll-out.
    """

    version: Name
    steps: Annotated[tuple[Step, ...], msgspec.Meta(min_length=1)]
    dwell_ms: Milliseconds = 600_000
    least_answers: Annotated[int, msgspec.Meta(ge=0)] = 200
    state: RollOutState = RollOutState.RUNNING
    step: Annotated[int, msgspec.Meta(ge=0)] = 0
    since_ms: Annotated[int, msgspec.Meta(ge=0)] = 0

    @property
    def share(self) -> float:
        """Return the fraction (0 to 1) of requests the version may receive."""
        match self.state:
            case RollOutState.DONE:
                return 1
            case RollOutState.REVERTED:
                return 0
        return self.steps[min(self.step, len(self.steps) - 1)] / PER_CENT


class ModelRow(Row, frozen=True):
    """Traffic split of a model between its versions.

    A cascade lists versions from cheap to expensive; empty means no cascade.
    """

    weights_by_version: dict[str, Share]
    cascade: tuple[str, ...] = ()
    roll_out: RollOut | None = None
    limits: LimitColumns = LimitColumns()


class VersionRow(Row, frozen=True):
    """A version of a model; the cost is per 1,000 tokens.

    The successor is the version that sessions move to after a withdrawal;
    empty lets each session draw one by weight.
    """

    state: VersionState = VersionState.LIVE
    cost_per_1k_tokens: Amount = 1.0
    successor: str = ''


class SessionRow(Row, frozen=True):
    """A session that an operator has assigned to a version."""

    model: Name
    version: Name


class ServiceRow(Row, frozen=True):
    """A plain service; calls to the listed paths must not be retried."""

    non_repeatable_paths: tuple[str, ...] = ()
    timeout_ms: Milliseconds = 10_000


AnyRow = WorkspaceRow | ModelRow | VersionRow | SessionRow | ServiceRow

row_type_by_kind: dict[str, type[AnyRow]] = {
    WORKSPACE: WorkspaceRow,
    MODEL: ModelRow,
    VERSION: VersionRow,
    SESSION: SessionRow,
    SERVICE: ServiceRow,
}


DELETED_CONTENT = msgspec.Raw(b'null')


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row and its revision: the log offset of the change that wrote it."""

    revision: int
    row: AnyRow


class RowEdit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """New content of a row as JSON, or `null` to delete the row.

    The base revision is the revision of the row when the author read it. The
    edit is rejected if the row has another revision by then.
    """

    key: RowKey
    content: msgspec.Raw = DELETED_CONTENT
    base_revision: int = NO_REVISION


class TableChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Edits of rows, accepted or rejected as one transaction."""

    author: str
    edits: Annotated[tuple[RowEdit, ...], msgspec.Meta(min_length=1)]
    note: str = ''


class TableStatus(msgspec.Struct, frozen=True):
    """The current revision and the next log offset to fold."""

    revision: int
    next_offset: int
