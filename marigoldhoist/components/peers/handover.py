"""Give the records that a stopping daemon could not append to a peer."""

from typing import Final, Protocol

import msgspec
from result import Ok

from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.models import Record
from marigoldhoist.components.platform_log.work_writer import WorkWriter
from marigoldhoist.core.kernel import Kernel

FLUSH_TIMEOUT_S: Final = 2.0
CALL_TIMEOUT_S: Final = 1.0
TAKEN: Final = b'taken'


class Keeper(Protocol):
    """Whoever keeps a record until the log has it."""

    def submit_with_retry(self, record: Record) -> object:
        """Append a record, again and again until the log confirms it."""


class RecordHandover:
    """Hands one writer's kept records to peers, and takes theirs."""

    def __init__(self, kernel: Kernel, topic: str, peers: PeerService) -> None:
        self._kernel = kernel
        self._topic = topic
        self._peers = peers

    def subscribe(self, keeper: Keeper) -> None:
        """Take the records of peers that stop."""

        def on_records(_sender: str, payload: bytes) -> bytes:
            if self._kernel.draining.is_set():
                return b''
            records = msgspec.json.decode(payload, type=tuple[Record, ...])
            for record in records:
                keeper.submit_with_retry(record)
            return TAKEN

        self._peers.subscribe(self._topic, on_records)

    def hand_over(self, writer: WorkWriter) -> bool:
        """Append what is kept, or give it to a peer; False if neither."""
        if writer.flush(FLUSH_TIMEOUT_S):
            return True
        payload = msgspec.json.encode(writer.unconfirmed())
        return any(
            self._is_taken(peer.host, payload)
            for peer in self._peers.accepting_peers()
        )

    def _is_taken(self, host: str, payload: bytes) -> bool:
        reply = self._peers.call(host, self._topic, payload, CALL_TIMEOUT_S)
        return isinstance(reply, Ok) and reply.ok_value == TAKEN
