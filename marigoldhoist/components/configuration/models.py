"""Data model of the configuration."""

import dataclasses
import enum
from collections.abc import Mapping


class RequestKind(enum.Enum):
    """The kind of requests on a route, which determines if they are retried."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route, selected by authority and path prefix.

    `timeout_s` is the longest time that a caller waits for the outcome.
    `objective_s` is the latency objective for the response, or for the first
    event of a stream, and `inter_token_target_s` that for the pause between
    events. `models` is ordered from the smallest to the largest and empty if
    callers name the model.
    """

    name: str
    authority: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    priority: int
    weight_by_service: Mapping[str, int]
    max_attempts: int
    is_public: bool = False
    can_resume: bool = False
    models: tuple[str, ...] = ()
    inter_token_target_s: float = 0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.can_resume

    @property
    def is_stream(self) -> bool:
        """Return whether responses are event streams."""
        return self.kind is RequestKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; its priority, if set, overrides that of the route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service that routes refer to.

    `max_connections` is the limit of each replica, `cost_by_model` the cost
    per 1,000 tokens. `kv_capacity_tokens` is the KV cache capacity of a
    replica, 0 if unknown.
    """

    name: str
    max_connections: int
    cost_by_model: Mapping[str, float] = dataclasses.field(default_factory=dict)
    kv_capacity_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits of callers' requests and connections."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One complete version of the configuration.

    Versions only increase. The routes of each authority are ordered by
    descending length of their prefixes.
    """

    version: int
    routes_by_authority: Mapping[str, tuple[Route, ...]]
    workspace_by_key: Mapping[str, Workspace]
    service_by_name: Mapping[str, RoutedService]
    limits: CallerLimits

    def route(self, authority: str, path: str) -> Route | None:
        """Return the matching route with the longest prefix, if any."""
        for route in self.routes_by_authority.get(authority, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
