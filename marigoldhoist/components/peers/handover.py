"""Hand over the unappended records of a stopping daemon to a peer."""

from typing import Final, Protocol

import msgspec
from result import Ok

from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.platform_log.models import Record
from marigoldhoist.components.platform_log.work_writer import WorkWriter
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.kernel import Kernel

FLUSH_TIMEOUT_S: Final = 2.0
CALL_TIMEOUT_S: Final = 1.0
ACCEPTED: Final = b'taken'


class RetryingWriter(Protocol):
    """Appends records and retries until the log confirms them."""

    def submit_with_retry(self, record: Record) -> object:
        """Append a record, retrying until the log confirms it."""


class RecordHandover:
    """Hands pending records of a writer to peers and accepts theirs."""

    def __init__(self, kernel: Kernel, topic: str, peers: PeerService) -> None:
        self._kernel = kernel
        self._topic = topic
        self._peers = peers

    def subscribe(self, writer: RetryingWriter) -> None:
        """Pass records from stopping peers to the writer.

        Records are refused while this daemon is draining itself.
        """

        def on_records(_sender: str, payload: bytes) -> bytes:
            if self._kernel.draining.is_set():
                return b''
            records = decode_json(payload, tuple[Record, ...])
            for record in records:
                writer.submit_with_retry(record)
            return ACCEPTED

        self._peers.subscribe(self._topic, on_records)

    def hand_over(self, writer: WorkWriter) -> bool:
        """Append the pending records, or hand them over to a peer.

        Returns False if the records were neither appended in time nor
        accepted by a peer.
        """
        if writer.flush(FLUSH_TIMEOUT_S):
            return True
        payload = msgspec.json.encode(writer.unconfirmed())
        return any(
            self._is_accepted(peer.host, payload)
            for peer in self._peers.accepting_peers()
        )

    def _is_accepted(self, host: str, payload: bytes) -> bool:
        reply = self._peers.call(host, self._topic, payload, CALL_TIMEOUT_S)
        return isinstance(reply, Ok) and reply.ok_value == ACCEPTED
