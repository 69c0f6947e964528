"""Attempts of one call at other daemons, as this one reaches no replica."""

import contextlib
from collections.abc import AsyncIterator

from marigoldhoist.components.configuration.models import Route
from marigoldhoist.components.gateway import handover_headers
from marigoldhoist.components.gateway.context import GatewayContext
from marigoldhoist.components.gateway.errors import RefusedError
from marigoldhoist.components.gateway.events import CALL_HANDED_OVER
from marigoldhoist.components.gateway.models import ForwardingContext
from marigoldhoist.components.gateway.peer_sender import PeerCall
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.gateway.replica_choice import ReplicaChoice
from marigoldhoist.components.gateway.replica_response import ReplicaResponse
from marigoldhoist.components.handover.const import MAX_PEERS_PER_CALL
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.components.mirrors.membership import Member
from marigoldhoist.core.errors import ErrorCode


class PeerAttempts:
    """Hands one call over to daemons that reach a replica of its service."""

    def __init__(
        self,
        progress: CallProgress,
        context: GatewayContext,
        replicas: ReplicaChoice,
    ) -> None:
        self._progress = progress
        self._context = context
        self._replicas = replicas

    def choose(self, route: Route) -> Member | None:
        """Return the peer to hand the call to, None if it is not needed.

        Raise RefusedError if no daemon is known to reach a replica. A call
        that was handed to this daemon is not handed on.
        """
        progress = self._progress
        if not self._replicas.is_cut_off(route):
            return None
        selector = self._context.peer_sender.selector
        if not progress.is_handed_over and not selector.has_peers:
            return None
        peer = None
        if self._may_hand_over:
            peer = selector.pick(progress.service, progress.tried_peers)
        if peer is None:
            raise RefusedError(
                self._context.admission.refusal(
                    ErrorCode.NO_REPLICA,
                    'no replica that can take the request can be reached',
                    progress.time_left_s,
                )
            )
        return peer

    @contextlib.asynccontextmanager
    async def send(
        self, route: Route, peer: Member
    ) -> AsyncIterator[ReplicaResponse]:
        """Hand the call over and yield the response of the peer's replica.

        Raise AttemptError or RefusedError as the sender does.
        """
        peer_call = self._record_send(peer)
        progress = self._progress
        async with self._context.peer_sender.send(
            peer_call, is_repeatable=route.is_repeatable
        ) as response:
            head = response.head
            progress.send_count = max(
                progress.send_count, handover_headers.send_count(head)
            )
            replica = self._context.directory.replica_by_host.get(
                handover_headers.replica_host(head)
            )
            if replica is not None:
                self._context.sender.announcements.record(
                    replica,
                    response.metadata.announcement,
                    progress.call.request_id,
                )
            head.headers = handover_headers.without_handover(head.headers)
            yield response

    @property
    def _may_hand_over(self) -> bool:
        progress = self._progress
        return (
            not progress.is_handed_over
            and len(progress.tried_peers) < MAX_PEERS_PER_CALL
        )

    def _record_send(self, peer: Member) -> PeerCall:
        progress = self._progress
        if not progress.tried_peers and not progress.send_count:
            self._context.retry_budgets.withdraw_request(progress.service)
        progress.note(
            CALL_HANDED_OVER,
            peer=peer.host,
            failure_domain=peer.failure_domain,
            service=progress.service,
            sends=progress.send_count,
            left_s=round(progress.time_left_s, 3),
            after_event=progress.last_event_id,
        )
        self._context.metrics.handed_over.labels(progress.service).inc()
        handover = Handover(
            self._context.host, progress.send_count, progress.model
        )
        progress.send_count += 1
        progress.last_host = peer.host
        progress.tried_peers.add(peer.host)
        forwarding = ForwardingContext(
            peer.host,
            progress.time_left_s,
            resume_after=progress.last_event_id,
        )
        return PeerCall(
            peer, progress.call, progress.service, forwarding, handover
        )
