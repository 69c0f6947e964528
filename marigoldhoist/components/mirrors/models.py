"""Messages between daemons of the gateway deployment."""

import msgspec

from marigoldhoist.components.mirrors.findings import Finding


class DaemonInfo(msgspec.Struct, frozen=True, array_like=True):
    """A daemon and the seconds since any daemon last heard from it.

    It takes the calls of other daemons at `handover_address`, if it has one.
    """

    host: str
    address: str
    failure_domain: str
    heard_age_s: float
    handover_address: str = ''


class ReadRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a topic's records from an offset, all if it is negative.

    A request with an empty topic is a gossip call: its reply has only the
    known daemons and findings. `era` is the era of the offset.
    """

    caller: DaemonInfo
    topic: str
    offset: int
    wait_s: float
    findings: list[Finding] = []
    era: int | None = None


class MirroredRecord(msgspec.Struct, frozen=True, array_like=True):
    """The newest record of a key; a tombstone has no value."""

    key: str
    value: bytes | None
    offset: int


class ReadReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply with records, the topic's end offset and their age.

    `age_s` is the time since the store read that confirmed the records; it is
    a duration, so that clocks need not be synchronized. `end` is None if the
    daemon has not read the topic. `is_relayed` is true if the daemon got
    the records from another daemon instead of the store. `era` is the era of
    the offsets. `is_whole` is true if the records are the newest of all keys,
    `is_settling` if the era changed too recently to confirm the records.
    """

    records: list[MirroredRecord]
    end: int | None
    age_s: float
    daemons: list[DaemonInfo]
    findings: list[Finding] = []
    is_relayed: bool = False
    era: int | None = None
    is_whole: bool = False
    is_settling: bool = False
