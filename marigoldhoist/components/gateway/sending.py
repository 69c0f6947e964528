"""Send a call to one replica and read its answer."""

import contextlib
from collections.abc import AsyncIterator, Iterator

from marigoldhoist.components.directory.models import LoadReport, Replica
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.gateway.errors import (
    AttemptError,
    ConnectionClosedError,
    MalformedMessageError,
)
from marigoldhoist.components.gateway.events import ANSWER_PASSED_OVER
from marigoldhoist.components.gateway.messages import End, Item, MessageHead
from marigoldhoist.components.gateway.models import (
    Call,
    Dialect,
    ForwardingContext,
    ResponseMetadata,
)
from marigoldhoist.components.gateway.pool import (
    ReplicaConnection,
    ReplicaPool,
)
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.events import emit
from marigoldhoist.core.verdict import Verdict

HEAD = 'HEAD'
SUCCESS_STATUSES = range(200, 300)
# Their meaning is that a request was not run, so a replica that sends one
# without saying so must not be believed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class RunningAnswer:
    """A replica's answer whose head was read and whose body follows.

    `head_s` is the time to its head, `waited_s` the time spent waiting for
    its body; what the caller's connection takes counts for neither.
    """

    def __init__(
        self,
        replica: Replica,
        connection: ReplicaConnection,
        head: MessageHead,
        metadata: ResponseMetadata,
        *,
        has_body: bool = True,
    ) -> None:
        self.replica = replica
        self.head = head
        self.metadata = metadata
        self.head_s: float = 0
        self.waited_s: float = 0
        self._connection = connection
        self._has_body = has_body
        self._is_whole = False

    @property
    def is_success(self) -> bool:
        """Tell whether the replica ran the request to a good end."""
        return self.head.status in SUCCESS_STATUSES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; AttemptError where it ends early."""
        item = await self._next_item()
        while item is not End.OF_MESSAGE:
            if isinstance(item, bytes):
                yield item
            item = await self._next_item()

    async def _next_item(self) -> Item:
        """Return what comes next of the answer, at last its end."""
        if not self._has_body:
            # The parser cannot know, so the connection is not used again.
            return End.OF_MESSAGE
        asked_s = SYSTEM_CLOCK.boottime_s()
        try:
            item = await self._connection.next_item()
        except ConnectionClosedError as error:
            if self.head.ends_with_connection and not error.was_reset:
                return End.OF_MESSAGE
            raise AttemptError('answer cut', Verdict.MAY_HAVE_RUN) from error
        except MalformedMessageError as error:
            raise AttemptError(
                'answer malformed', Verdict.MAY_HAVE_RUN
            ) from error
        self.waited_s += SYSTEM_CLOCK.boottime_s() - asked_s
        self._is_whole = item is End.OF_MESSAGE
        return item

    async def body(self) -> bytes:
        """Return the whole body; AttemptError where it ends early."""
        return b''.join([chunk async for chunk in self.chunks()])

    def release(self, pool: ReplicaPool) -> None:
        """Keep the connection if it is clean, else end it."""
        is_over = self._is_whole and self.head.is_keep_alive
        if is_over and self._connection.is_quiet:
            pool.give_back(self.replica, self._connection)
        else:
            self._connection.abort()


class Sender:
    """Sends calls and counts what is in flight at each replica."""

    def __init__(
        self, dialect: Dialect, pool: ReplicaPool, directory: DirectoryService
    ) -> None:
        self._dialect = dialect
        self._pool = pool
        self._directory = directory

    @contextlib.asynccontextmanager
    async def sent(
        self,
        call: Call,
        forwarding: ForwardingContext,
        replica: Replica,
        *,
        is_repeatable: bool,
    ) -> AsyncIterator[RunningAnswer]:
        """Give the replica's answer; AttemptError where there is none.

        Leaving the block before the body was read ends the connection, which
        ends the replica's work.
        """
        with _counted(replica):
            connection = await self._connect(replica, is_repeatable)
            try:
                answer = await self._answer(
                    call, forwarding, replica, connection
                )
            except BaseException:
                connection.abort()
                raise
            try:
                await self._judge(answer)
                yield answer
            finally:
                answer.release(self._pool)

    async def _connect(
        self, replica: Replica, is_repeatable: bool
    ) -> ReplicaConnection:
        try:
            return await self._pool.take(replica, is_repeatable=is_repeatable)
        except AttemptError as error:
            self._directory.suspect(replica, error.reason)
            raise

    async def _answer(
        self,
        call: Call,
        forwarding: ForwardingContext,
        replica: Replica,
        connection: ReplicaConnection,
    ) -> RunningAnswer:
        sent_s = SYSTEM_CLOCK.boottime_s()
        try:
            with _reading(replica, forwarding.expected_prefill_s):
                await connection.write(
                    self._dialect.request_bytes(call, forwarding)
                )
                head, metadata = await self._own_head(
                    connection, call.request_id
                )
        except (ConnectionClosedError, MalformedMessageError) as error:
            replica.note_failure(SYSTEM_CLOCK.boottime_s())
            raise AttemptError(str(error), Verdict.MAY_HAVE_RUN) from error
        self._note(replica, metadata, connection)
        answer = RunningAnswer(
            replica, connection, head, metadata, has_body=call.method != HEAD
        )
        answer.head_s = SYSTEM_CLOCK.boottime_s() - sent_s
        return answer

    async def _own_head(
        self, connection: ReplicaConnection, request_id: str
    ) -> tuple[MessageHead, ResponseMetadata]:
        """Return the head of the request's own answer, passing over others."""
        while True:
            item = await connection.next_item()
            if not isinstance(item, MessageHead):
                continue
            metadata = self._dialect.parse_response_metadata(item)
            if not metadata.request_id or metadata.request_id == request_id:
                return item, metadata
            emit(
                ANSWER_PASSED_OVER,
                request_id=request_id,
                came_for=metadata.request_id,
            )

    def _note(
        self,
        replica: Replica,
        metadata: ResponseMetadata,
        connection: ReplicaConnection,
    ) -> None:
        if metadata.idle_timeout_s is not None:
            connection.idle_timeout_s = metadata.idle_timeout_s
        if metadata.load is not None:
            running, waiting, slots = metadata.load
            replica.report = LoadReport(
                running,
                waiting,
                slots,
                SYSTEM_CLOCK.boottime_s(),
                replica.in_flight,
            )

    async def _judge(self, answer: RunningAnswer) -> None:
        """Raise AttemptError for an answer that callers must not get."""
        if answer.metadata.is_misdirected:
            self._directory.note_replaced(answer.replica)
            raise AttemptError('another replica answered', Verdict.NOT_RUN)
        if answer.metadata.was_not_run:
            await answer.body()
            raise AttemptError('replica refused', Verdict.NOT_RUN)
        complaint = _complaint(answer)
        if complaint:
            raise AttemptError(complaint, Verdict.MAY_HAVE_RUN)


def _complaint(answer: RunningAnswer) -> str:
    """Return why an answer must not be delivered, empty where it may be."""
    metadata = answer.metadata
    if not metadata.request_id:
        return 'answer without id'
    if answer.is_success and not metadata.is_signed:
        return 'answer not signed'
    if answer.is_success and metadata.has_content_encoding:
        return 'answer in an encoding that was not asked for'
    if answer.head.status in NOT_RUN_STATUSES:
        return 'refusal that does not say that it was not run'
    return ''


@contextlib.contextmanager
def _reading(replica: Replica, expected_s: float) -> Iterator[None]:
    replica.pending_prefill_s += expected_s
    try:
        yield
    finally:
        replica.pending_prefill_s -= expected_s


@contextlib.contextmanager
def _counted(replica: Replica) -> Iterator[None]:
    replica.in_flight += 1
    try:
        yield
    finally:
        replica.in_flight -= 1
