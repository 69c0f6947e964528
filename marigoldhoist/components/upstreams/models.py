"""Replicas and calls, inside the daemon."""

import dataclasses
import threading


@dataclasses.dataclass(slots=True)
class Replica:
    """One upstream process and this daemon's requests in flight at it."""

    host: str
    address: str
    port: int
    failure_domain: str
    serves: tuple[str, ...]
    is_leaving: bool = False
    in_flight: int = 0
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)

    def begin(self) -> None:
        """Count a request in."""
        with self.lock:
            self.in_flight += 1

    def end(self) -> None:
        """Count a request out."""
        with self.lock:
            self.in_flight -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to a replica."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_s: float
