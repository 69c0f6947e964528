"""Hand a call over to another daemon and read its response."""

import contextlib
import dataclasses
from collections.abc import AsyncIterator
from typing import Final

import msgspec

from marigoldhoist.components.directory.models import Replica, ReplicaEntry
from marigoldhoist.components.gateway import handover_headers
from marigoldhoist.components.gateway.const import MAX_REFUSAL_BODY_BYTES
from marigoldhoist.components.gateway.errors import (
    AttemptError,
    ConnectionClosedError,
    MalformedMessageError,
    RefusedError,
)
from marigoldhoist.components.gateway.models import (
    Call,
    Dialect,
    ForwardingContext,
)
from marigoldhoist.components.gateway.pool import (
    ReplicaConnection,
    ReplicaPool,
)
from marigoldhoist.components.gateway.replica_response import (
    HEAD,
    ReplicaResponse,
)
from marigoldhoist.components.gateway.response_heads import read_matching_head
from marigoldhoist.components.handover.const import COMPONENT as HANDOVER
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.components.handover.service import (
    HandoverService,
    PeerSelector,
)
from marigoldhoist.components.mirrors.membership import Member
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.identity import split_address
from marigoldhoist.core.kernel import Kernel
from marigoldhoist.core.verdict import Verdict

# Refusals of a peer after which another one may take the call. It may also be
# behind or ahead of this daemon with the configuration.
RETRYABLE_CODES: Final = frozenset(
    (
        ErrorCode.NO_REPLICA,
        ErrorCode.NO_TABLE,
        ErrorCode.STALE_TABLE,
        ErrorCode.DRAINING,
        ErrorCode.UNKNOWN_ROUTE,
        ErrorCode.UNAUTHORIZED,
    )
)


class PeerFailure(msgspec.Struct, frozen=True):
    """The body of a failure that another daemon generated."""

    code: ErrorCode
    message: str
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class PeerCall:
    """A call to a service that is handed over to a peer."""

    peer: Member
    call: Call
    service: str
    forwarding: ForwardingContext
    handover: Handover


class PeerSender:
    """Hands calls over to peers; a response is that of the peer's replica.

    `selector` chooses the peers.
    """

    def __init__(self, dialect: Dialect, selector: PeerSelector) -> None:
        self._dialect = dialect
        self.selector = selector
        self._pool = ReplicaPool()

    @contextlib.asynccontextmanager
    async def send(
        self, peer_call: PeerCall, *, is_repeatable: bool
    ) -> AsyncIterator[ReplicaResponse]:
        """Hand a call over and yield the response of the peer's replica.

        Raise AttemptError if the peer did not take the call or was lost, and
        RefusedError if its failure is final.
        """
        with self.selector.in_flight(peer_call.peer):
            target = _as_replica(peer_call.peer)
            connection = await self._connect(peer_call, target, is_repeatable)
            try:
                response = await self._request_response(
                    peer_call, target, connection
                )
            except BaseException:
                connection.abort()
                raise
            try:
                await self._require_response_of_replica(peer_call, response)
                yield response
            finally:
                response.release(self._pool)

    def close_expired(self) -> None:
        """Close connections whose idle timeout has expired."""
        self._pool.close_expired()

    async def _connect(
        self, peer_call: PeerCall, target: Replica, is_repeatable: bool
    ) -> ReplicaConnection:
        try:
            return await self._pool.acquire(
                peer_call.call, target, is_repeatable=is_repeatable
            )
        except AttemptError as error:
            self._avoid(peer_call, error.reason)
            raise

    async def _request_response(
        self,
        peer_call: PeerCall,
        target: Replica,
        connection: ReplicaConnection,
    ) -> ReplicaResponse:
        sent_s = SYSTEM_CLOCK.boottime_s()
        call = peer_call.call
        try:
            await connection.write_request(
                self._dialect.handover_head_bytes(
                    call,
                    peer_call.forwarding,
                    handover_headers.request_headers(peer_call.handover),
                ),
                call.body,
            )
            head, metadata = await read_matching_head(
                connection, call.request_id, self._dialect
            )
            if not metadata.request_id:
                raise MalformedMessageError('answer without id')
        except (ConnectionClosedError, MalformedMessageError) as error:
            self._avoid(peer_call, str(error))
            raise AttemptError(str(error), Verdict.MAY_HAVE_RUN) from error
        response = ReplicaResponse(
            target, connection, head, metadata, has_body=call.method != HEAD
        )
        response.is_from_peer = True
        response.time_to_head_s = SYSTEM_CLOCK.boottime_s() - sent_s
        return response

    async def _require_response_of_replica(
        self, peer_call: PeerCall, response: ReplicaResponse
    ) -> None:
        """Raise the failure of a peer that returned no replica's response."""
        if handover_headers.replica_host(response.head):
            self.selector.record_served(peer_call.peer, peer_call.service)
            return
        body = await response.body(MAX_REFUSAL_BODY_BYTES)
        try:
            failure = decode_json(body, PeerFailure)
        except msgspec.MsgspecError as error:
            raise AttemptError(
                f'{peer_call.peer.host}: {error}', Verdict.MAY_HAVE_RUN
            ) from error
        is_not_run = failure.verdict is Verdict.NOT_RUN
        if is_not_run and failure.code in RETRYABLE_CODES:
            self._avoid(peer_call, failure.code.value)
            raise AttemptError(
                f'{peer_call.peer.host}: {failure.message}',
                Verdict.NOT_RUN,
                was_sent=False,
            )
        raise RefusedError(
            RequestFailure(
                failure.code,
                failure.message,
                failure.verdict,
                response.metadata.announcement.closed_for_s or None,
            )
        )

    def _avoid(self, peer_call: PeerCall, reason: str) -> None:
        self.selector.avoid(peer_call.peer, peer_call.service, reason)


def _as_replica(peer: Member) -> Replica:
    """Return a peer in the form in which the pool keeps connections."""
    address, port = split_address(peer.handover_address)
    return Replica(
        ReplicaEntry(
            host=peer.host,
            service='',
            address=address,
            port=port,
            failure_domain=peer.failure_domain,
            version='',
            slots=1,
            is_draining=False,
            started_ms=0,
        )
    )


def create_peer_sender(kernel: Kernel, dialect: Dialect) -> PeerSender:
    """Create the sender to the peers that the handover service knows."""
    return PeerSender(dialect, kernel.find(HANDOVER, HandoverService).peers)
