"""Decode what the operator and the replicas store, and encode states.

Records that cannot be read are passed over with a log line: another writer's
entry must not take the others away.
"""

from collections.abc import Iterator
from typing import Any

import msgspec

from marigoldhoist.components.canary.models import (
    RollOutOrder,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.configuration.models import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RoutedService,
    Workspace,
)
from marigoldhoist.components.directory.models import ReplicaEntry
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.platform.const import ROLL_OUT_KEY_PREFIX

KIND_BY_WORD = {
    'safe': RequestKind.IDEMPOTENT,
    'unsafe': RequestKind.AT_MOST_ONCE,
    'streaming': RequestKind.STREAM,
}
STATE_BY_WORD = {
    'running': RollOutState.RUNNING,
    'completed': RollOutState.COMPLETED,
    'rolled_back': RollOutState.ROLLED_BACK,
}
WORD_BY_STATE = {state: word for word, state in STATE_BY_WORD.items()}


class SplitRow(msgspec.Struct):
    """A service's part of a route's traffic."""

    service: str
    weight: int


class RouteRow(msgspec.Struct):
    """A route; `slo_ms` is the objective, `sizes` are models."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 1000
    priority: int = 0
    service: str = ''
    split: list[SplitRow] = []
    sizes: list[str] = []
    max_attempts: int = 1
    public: bool = False
    can_resume: bool = False
    itl_target_ms: float = 0


class ModelRow(msgspec.Struct):
    """A model and its cost per 1,000 tokens."""

    name: str
    cost: float = 0


class EngineRow(msgspec.Struct):
    """What the replicas of a model service are like."""

    kv_capacity_tokens: int = 0
    models: list[ModelRow] = []


class ServiceRow(msgspec.Struct):
    """A service."""

    name: str
    max_connections: int = 100
    engine: EngineRow | None = None


class LimitsRow(msgspec.Struct):
    """What callers may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class TenantRow(msgspec.Struct):
    """A workspace and its keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class ConfigRow(msgspec.Struct):
    """A whole configuration."""

    version: int
    routes: list[RouteRow] = []
    services: list[ServiceRow] = []
    limits: LimitsRow = msgspec.field(default_factory=LimitsRow)
    tenants: list[TenantRow] = []


class ServerRow(msgspec.Struct):
    """A replica's entry; `born` is the wall-clock time of its start."""

    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    born: int
    cold_ms: float = 0


class RolloutRow(msgspec.Struct):
    """The operator's order to move a service to a version."""

    service: str
    target: str
    over_s: float


class StatusRow(msgspec.Struct):
    """The stored state of a roll-out."""

    state: str
    target: str


def read_configuration(raw: bytes) -> Configuration:
    """Decode a configuration; msgspec.DecodeError where it is none."""
    row = msgspec.json.decode(raw, type=ConfigRow)
    routes: dict[str, list[Route]] = {}
    for route in _routes(row):
        routes.setdefault(route.authority, []).append(route)
    return Configuration(
        row.version,
        {
            authority: tuple(sorted(found, key=_prefix_length, reverse=True))
            for authority, found in routes.items()
        },
        {
            key: Workspace(tenant.name, tenant.priority)
            for tenant in row.tenants
            for key in tenant.api_keys
        },
        {service.name: _service(service) for service in row.services},
        CallerLimits(
            row.limits.max_header_bytes,
            row.limits.max_body_bytes,
            row.limits.header_timeout_ms / MS_PER_S,
            row.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def read_replica(host: str, raw: bytes) -> ReplicaEntry | None:
    """Decode a replica's entry, none where it names no usable replica."""
    try:
        row = msgspec.json.decode(raw, type=ServerRow)
    except msgspec.DecodeError:
        return None
    address, _, port = row.address.rpartition(':')
    if not port.isdigit() or row.state not in {'ready', 'draining'}:
        return None
    return ReplicaEntry(
        host,
        row.service,
        address,
        int(port),
        row.zone,
        row.version,
        row.slots,
        row.state == 'draining',
        row.born,
        row.cold_ms / MS_PER_S,
    )


def read_order(raw: bytes, offset: int) -> RollOutOrder:
    """Decode the operator's order; msgspec.DecodeError where it is none."""
    row = msgspec.json.decode(raw, type=RolloutRow)
    return RollOutOrder(row.service, row.target, row.over_s, offset)


def read_status(key: str, raw: bytes) -> RollOutStatus | None:
    """Decode the state of a roll-out, none where the record is another."""
    if not key.startswith(ROLL_OUT_KEY_PREFIX):
        return None
    try:
        row = msgspec.json.decode(raw, type=StatusRow)
    except msgspec.DecodeError:
        return None
    state = STATE_BY_WORD.get(row.state)
    if state is None:
        return None
    service = key.removeprefix(ROLL_OUT_KEY_PREFIX)
    return RollOutStatus(service, row.target, state)


def status_record(status: RollOutStatus) -> tuple[str, bytes]:
    """Return the key and the record of a roll-out's state."""
    written: dict[str, Any] = {
        'state': WORD_BY_STATE[status.state],
        'target': status.target,
    }
    return ROLL_OUT_KEY_PREFIX + status.service, msgspec.json.encode(written)


def _routes(row: ConfigRow) -> Iterator[Route]:
    for route in row.routes:
        kind = KIND_BY_WORD.get(route.kind)
        if kind is None:
            continue
        weights = {part.service: part.weight for part in route.split}
        yield Route(
            route.name,
            route.host.lower(),
            route.path_prefix,
            kind,
            route.timeout_ms / MS_PER_S,
            route.slo_ms / MS_PER_S,
            route.priority,
            weights or {route.service: 1},
            route.max_attempts,
            route.public,
            route.can_resume,
            tuple(route.sizes),
            route.itl_target_ms / MS_PER_S,
        )


def _service(service: ServiceRow) -> RoutedService:
    engine = service.engine or EngineRow()
    return RoutedService(
        service.name,
        service.max_connections,
        {model.name: model.cost for model in engine.models},
        engine.kv_capacity_tokens,
    )


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)
