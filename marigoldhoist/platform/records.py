"""Decode and encode the records in the platform's store.

A record that cannot be decoded is ignored, so that an invalid record of one
writer does not affect the records of the others.
"""

import ipaddress
from collections.abc import Iterator
from typing import Annotated, Final, TypeAlias

import msgspec

from marigoldhoist.components.canary.models import RollOutOrder
from marigoldhoist.components.configuration.models import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    RoutedService,
    Workspace,
)
from marigoldhoist.components.directory.models import ReplicaEntry
from marigoldhoist.components.feeds.models import Position
from marigoldhoist.core.const import MS_PER_S
from marigoldhoist.core.decoding import decode_json, parse_integer

# Bounds of the numbers in a registration; one with others is of no replica.
MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 1_000_000
MAX_TIME_MS: Final = 2**53
MAX_ROLL_OUT_S: Final = 10**9

Slots: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
UnixMilliseconds: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Milliseconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]

KIND_BY_NAME = {
    'safe': RequestKind.IDEMPOTENT,
    'unsafe': RequestKind.AT_MOST_ONCE,
    'streaming': RequestKind.STREAM,
}


class SplitRow(msgspec.Struct):
    """The weight of a service in a route's traffic split."""

    service: str
    weight: int


class RouteRow(msgspec.Struct):
    """A route.

    `slo_ms` is the latency objective, `itl_target_ms` the longest gap between
    stream events that is on time, `sizes` the models from smallest to largest.
    """

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
    """The engine that all replicas of a model service run."""

    kv_capacity_tokens: int = 0
    models: list[ModelRow] = []


class ServiceRow(msgspec.Struct):
    """A service; `engine` is present for model services only."""

    name: str
    max_connections: int = 100
    engine: EngineRow | None = None


class LimitsRow(msgspec.Struct):
    """Limits on the size and timing of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class TenantRow(msgspec.Struct):
    """A workspace with its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class ConfigRow(msgspec.Struct):
    """One complete version of the operator's configuration."""

    version: int
    routes: list[RouteRow] = []
    services: list[ServiceRow] = []
    limits: LimitsRow = msgspec.field(default_factory=LimitsRow)
    tenants: list[TenantRow] = []


class ServerRow(msgspec.Struct):
    """A replica's registration.

    `born` is the wall-clock time of its start in milliseconds since 1970,
    `cold_ms` the duration of its warm-up after that.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Slots
    state: str
    born: UnixMilliseconds
    cold_ms: Milliseconds = 0


class RolloutRow(msgspec.Struct):
    """The operator's order to roll a version out over `over_s` seconds."""

    service: str
    target: str
    over_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_ROLL_OUT_S)]


def decode_configuration(raw: bytes) -> Configuration:
    """Decode a configuration, or raise msgspec.DecodeError."""
    row = decode_json(raw, ConfigRow)
    routes_by_authority: dict[str, list[Route]] = {}
    for route in _routes(row):
        routes_by_authority.setdefault(route.authority, []).append(route)
    return Configuration(
        row.version,
        {
            authority: tuple(sorted(matching, key=_prefix_length, reverse=True))
            for authority, matching in routes_by_authority.items()
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


def decode_replica(host: str, raw: bytes) -> ReplicaEntry | None:
    """Decode a replica's registration; return None if it is invalid."""
    try:
        row = decode_json(raw, ServerRow)
    except msgspec.DecodeError:
        return None
    address, _, port_text = row.address.rpartition(':')
    port = parse_integer(port_text) or 0
    if not _is_ip_address(address) or not 0 < port <= MAX_PORT:
        return None
    if row.state not in {'ready', 'draining'}:
        return None
    return ReplicaEntry(
        host,
        row.service,
        address,
        port,
        row.zone,
        row.version,
        row.slots,
        row.state == 'draining',
        row.born,
        row.cold_ms / MS_PER_S,
    )


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.IPv4Address(text)
    except ipaddress.AddressValueError:
        return False
    return True


def decode_roll_out_order(raw: bytes, position: Position) -> RollOutOrder:
    """Decode a roll-out order, or raise msgspec.DecodeError."""
    row = decode_json(raw, RolloutRow)
    return RollOutOrder(
        row.service, row.target, row.over_s, position.offset, position.era
    )


def _routes(row: ConfigRow) -> Iterator[Route]:
    for route in row.routes:
        kind = KIND_BY_NAME.get(route.kind)
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
