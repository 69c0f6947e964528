"""Messages and status models of the peers component."""

import dataclasses

import msgspec


class Hello(msgspec.Struct, frozen=True):
    """First message in each direction, with the sender and a nonce."""

    host: str
    failure_domain: str
    nonce: bytes


class Heartbeat(msgspec.Struct, frozen=True):
    """Sent at a fixed interval and answered by the peer."""

    sent_ms: int


class PeerStatus(msgspec.Struct, frozen=True):
    """Hosts with an open link, and those among them that are leaving."""

    linked: tuple[str, ...]
    leaving: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A daemon with an open link; `link_id` is unique to the link."""

    host: str
    failure_domain: str
    link_id: bytes = b''
