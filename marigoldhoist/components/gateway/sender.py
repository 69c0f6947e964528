"""Send a call to one replica and read its response."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Callable, Iterator

from marigoldhoist.components.directory.announcements import (
    AnnouncementRecorder,
)
from marigoldhoist.components.directory.models import LoadReport, Replica
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.const import (
    LATE_HEAD_TIMEOUT_S,
    MAX_REFUSAL_BODY_BYTES,
    REFUSAL_BODY_TIMEOUT_S,
)
from marigoldhoist.components.gateway.errors import (
    AttemptError,
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.models import (
    Call,
    Dialect,
    ForwardingContext,
    ResponseMetadata,
)
from marigoldhoist.components.gateway.pool import (
    CONNECT_TIMED_OUT,
    ReplicaConnection,
    ReplicaPool,
)
from marigoldhoist.components.gateway.replica_response import (
    HEAD,
    ReplicaResponse,
)
from marigoldhoist.components.gateway.response_heads import read_matching_head
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.verdict import Verdict

# These statuses imply that the request was not run, so a response with one of
# them but without the not-run header is not trusted.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class Sender:
    """Sends calls and tracks the requests in flight at each replica.

    `announcements` records what replicas say of themselves.
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ReplicaPool,
        directory: DirectoryService,
        fleet_size: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._directory = directory
        self._listening: set[asyncio.Task[None]] = set()
        self.announcements = AnnouncementRecorder(
            fleet_size, rng, siblings=directory.siblings
        )

    @contextlib.asynccontextmanager
    async def send(
        self,
        call: Call,
        forwarding: ForwardingContext,
        replica: Replica,
        *,
        is_repeatable: bool,
        on_send: Callable[[], None],
    ) -> AsyncIterator[ReplicaResponse]:
        """Send a call and yield the replica's response.

        `on_send` is called when the call is about to be written. Raise
        AttemptError if there is no usable response. Leaving the context before
        the body was read aborts the connection, which cancels the request at
        the replica.
        """
        with _tracked_in_flight(replica):
            connection = await self._connect(call, replica, is_repeatable)
            on_send()
            try:
                response = await self._request_response(
                    call, forwarding, replica, connection
                )
            except asyncio.CancelledError:
                self._listen_late(replica, connection, call.request_id)
                raise
            except BaseException:
                connection.abort()
                raise
            try:
                await self._validate(response)
                yield response
            finally:
                response.release(self._pool)

    def reaches(self, replica: Replica, *, is_repeatable: bool) -> bool:
        """Return whether a call can be sent to a replica without a probe.

        Connections that are open may live on while new ones fail.
        """
        return not replica.is_unreachable or self._pool.has_idle(
            replica, is_repeatable=is_repeatable
        )

    def _listen_late(
        self, replica: Replica, connection: ReplicaConnection, request_id: str
    ) -> None:
        """Read an answer for which nobody waits, then abort the connection.

        A replica that turns a request away at its deadline does so a moment
        after the call has ended, and holds this daemon to what it says.
        """
        listening = asyncio.get_running_loop().create_task(
            self._read_late_head(replica, connection, request_id)
        )
        self._listening.add(listening)
        listening.add_done_callback(self._listening.discard)

    async def _read_late_head(
        self, replica: Replica, connection: ReplicaConnection, request_id: str
    ) -> None:
        # Without a head in time there is nothing to learn.
        nothing_said = (
            TimeoutError,
            ConnectionClosedError,
            MalformedMessageError,
        )
        try:
            with contextlib.suppress(*nothing_said):
                async with asyncio.timeout(LATE_HEAD_TIMEOUT_S):
                    _, metadata = await read_matching_head(
                        connection, request_id, self._dialect
                    )
                self._record_metadata(replica, metadata, connection, request_id)
        finally:
            connection.abort()

    async def _connect(
        self, call: Call, replica: Replica, is_repeatable: bool
    ) -> ReplicaConnection:
        try:
            return await self._pool.acquire(
                call, replica, is_repeatable=is_repeatable
            )
        except AttemptError as error:
            self._directory.suspect(replica, error.reason)
            if error.reason == CONNECT_TIMED_OUT:
                # A cut that leaves connects unanswered silences open
                # connections too; those behind a refusal may still work.
                self._pool.close_idle(replica)
            raise

    async def _request_response(
        self,
        call: Call,
        forwarding: ForwardingContext,
        replica: Replica,
        connection: ReplicaConnection,
    ) -> ReplicaResponse:
        sent_s = SYSTEM_CLOCK.boottime_s()
        try:
            with _tracked_prefill(replica, forwarding.expected_prefill_s):
                await connection.write_request(
                    self._dialect.request_head_bytes(call, forwarding),
                    call.body,
                )
                head, metadata = await read_matching_head(
                    connection, call.request_id, self._dialect
                )
        except (ConnectionClosedError, MalformedMessageError) as error:
            replica.note_failure(SYSTEM_CLOCK.boottime_s())
            raise AttemptError(
                str(error),
                Verdict.MAY_HAVE_RUN,
                is_connection_lost=isinstance(error, ConnectionClosedError),
            ) from error
        self._record_metadata(replica, metadata, connection, call.request_id)
        response = ReplicaResponse(
            replica, connection, head, metadata, has_body=call.method != HEAD
        )
        response.time_to_head_s = SYSTEM_CLOCK.boottime_s() - sent_s
        if metadata.is_refusal:
            response.is_proven_refusal = connection.take_refusal(
                call.request_id, metadata.request_id
            )
        return response

    def _record_metadata(
        self,
        replica: Replica,
        metadata: ResponseMetadata,
        connection: ReplicaConnection,
        request_id: str,
    ) -> None:
        if metadata.idle_timeout_s is not None:
            connection.idle_timeout_s = metadata.idle_timeout_s
        if not metadata.is_misdirected:
            self.announcements.record(
                replica, metadata.announcement, request_id
            )
        if metadata.load is not None:
            running, waiting, slots = metadata.load
            replica.report = LoadReport(
                running,
                waiting,
                slots,
                SYSTEM_CLOCK.boottime_s(),
                replica.in_flight,
            )

    async def _validate(self, response: ReplicaResponse) -> None:
        """Raise AttemptError for a response that must not be delivered."""
        if response.metadata.is_refusal and not response.is_proven_refusal:
            raise AttemptError(
                'refusal that may be of an earlier request',
                Verdict.MAY_HAVE_RUN,
            )
        if response.metadata.is_misdirected:
            self._directory.note_replaced(response.replica)
            raise AttemptError('another replica answered', Verdict.NOT_RUN)
        if response.metadata.was_not_run:
            self.announcements.record_rejection(response.replica)
            await _skip_refusal_body(response)
            raise AttemptError('replica refused', Verdict.NOT_RUN)
        reason = _rejection_reason(response)
        if reason:
            raise AttemptError(reason, Verdict.MAY_HAVE_RUN)


async def _skip_refusal_body(response: ReplicaResponse) -> None:
    """Read the body of a refusal; without its end the connection is closed.

    What the head says holds whatever becomes of the body.
    """
    with contextlib.suppress(AttemptError, TimeoutError):
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
            await response.body(MAX_REFUSAL_BODY_BYTES)


def _rejection_reason(response: ReplicaResponse) -> str:
    """Return why a response must not be delivered, empty if it may be."""
    metadata = response.metadata
    if not metadata.request_id:
        return 'answer without id'
    if response.is_success and not metadata.is_signed:
        return 'answer not signed'
    if response.is_success and metadata.has_content_encoding:
        return 'answer in an encoding that was not asked for'
    if response.head.status in NOT_RUN_STATUSES:
        return 'refusal that does not say that it was not run'
    return ''


@contextlib.contextmanager
def _tracked_prefill(
    replica: Replica, expected_s: float | None
) -> Iterator[None]:
    if expected_s is None:
        yield
        return
    backlog = replica.backlog
    prefill = backlog.begin(SYSTEM_CLOCK.boottime_s(), expected_s)
    try:
        yield
    except BaseException:
        backlog.drop(prefill)
        raise
    backlog.finish(prefill, SYSTEM_CLOCK.boottime_s())


@contextlib.contextmanager
def _tracked_in_flight(replica: Replica) -> Iterator[None]:
    replica.in_flight += 1
    try:
        yield
    finally:
        replica.in_flight -= 1
