"""What a configuration holds."""

import dataclasses
import enum
from collections.abc import Mapping


class RequestKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    AT_MOST_ONCE = 'at_most_once'
    STREAM = 'stream'


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """One row of routes, selected by authority and path prefix.

    `timeout_s` is the longest time a caller is kept, `objective_s` the time
    to the answer or first event that is aimed at, `longest_pause_s` the
    longest pause between events that is still on time. The models are
    ordered from the smallest to the largest, empty where callers name one.
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
    longest_pause_s: float = 0

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.can_resume

    @property
    def is_stream(self) -> bool:
        """Tell whether answers are streams of events."""
        return self.kind is RequestKind.STREAM


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; the priority goes before that of a route."""

    name: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service and the connections that one of its replicas takes."""

    name: str
    max_connections: int
    cost_by_model: Mapping[str, float] = dataclasses.field(default_factory=dict)
    memory_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    head_timeout_s: float = 3
    idle_timeout_s: float = 15


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One whole version; routes of an authority have the longest prefix first.

    Versions only increase.
    """

    version: int
    routes_by_authority: Mapping[str, tuple[Route, ...]]
    workspace_by_key: Mapping[str, Workspace]
    service_by_name: Mapping[str, RoutedService]
    limits: CallerLimits

    def route(self, authority: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path."""
        for route in self.routes_by_authority.get(authority, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
