"""Messages of the peers component itself."""

import dataclasses

import msgspec


class Hello(msgspec.Struct, frozen=True):
    """First message each way: who speaks, and fresh random bytes."""

    host: str
    failure_domain: str
    nonce: bytes


class Heartbeat(msgspec.Struct, frozen=True):
    """Sent at a fixed interval; the other end answers each."""

    sent_ms: int


class PeerStatus(msgspec.Struct, frozen=True):
    """Hosts with an open link, and which of them are leaving."""

    linked: tuple[str, ...]
    leaving: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A daemon with an open link."""

    host: str
    failure_domain: str
