"""Messages between daemons of the gateway deployment."""

import msgspec

from marigoldhoist.components.mirrors.findings import Finding


class DaemonCard(msgspec.Struct, frozen=True, array_like=True):
    """A daemon, and how long ago it was heard from, in seconds."""

    host: str
    address: str
    failure_domain: str
    heard_age_s: float


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a topic's records from an offset, all for a negative one.

    An empty topic asks for the known daemons and what they found.
    """

    caller: DaemonCard
    topic: str
    offset: int
    wait_s: float
    findings: list[Finding] = []


class MirroredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key; without a value the key is gone."""

    key: str
    value: bytes | None
    offset: int


class ReadReply(msgspec.Struct, frozen=True, array_like=True):
    """Records, the end, and the age of the read that confirmed them.

    It is relayed where the daemon that answers had it from another one.

    The age is a duration, so that clocks need not agree. A daemon that does
    not follow the topic has no end.
    """

    records: list[MirroredRecord]
    end: int | None
    age_s: float
    daemons: list[DaemonCard]
    findings: list[Finding] = []
    is_relayed: bool = False
