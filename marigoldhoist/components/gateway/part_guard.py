"""Check one call and its prompt parts against the quarantine."""

import contextlib
from collections.abc import Iterator

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.models import Call
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.quarantine.part_ids import (
    RequestParts,
    is_whole_request,
)
from marigoldhoist.components.quarantine.service import QuarantineService
from marigoldhoist.components.quarantine.work import Work
from marigoldhoist.core.errors import ErrorCode, RequestFailure


class PartGuard:
    """Refuses a call that is held back and reports its attempts."""

    def __init__(
        self, progress: CallProgress, quarantine: QuarantineService
    ) -> None:
        self._quarantine = quarantine
        self._parts = _parts_of(progress.call)
        self._work: Work | None = None

    def hold_failure(self) -> RequestFailure | None:
        """Return the refusal of a call that is held, None for others."""
        hold = self._quarantine.find_hold(self._parts)
        if hold is None:
            return None
        if is_whole_request(hold.part_id):
            return RequestFailure(
                ErrorCode.REQUEST_HELD,
                f'{hold.part_id} crashes replicas',
                retry_after_s=hold.left_s,
            )
        return RequestFailure(
            ErrorCode.PROMPT_PART_HELD,
            f'prompt part {hold.part_id} crashes replicas',
            retry_after_s=hold.left_s,
        )

    @contextlib.contextmanager
    def tracked(self, replica: Replica) -> Iterator[None]:
        """Report an attempt, its end and the loss of its connection."""
        work = self._quarantine.begin(replica, self._parts)
        self._work = work
        try:
            yield
        except AttemptError as error:
            if error.is_connection_lost:
                self._quarantine.inspect(work)
            raise
        finally:
            self._work = None
            self._quarantine.end(work)

    def record_send(self) -> None:
        """Record that the current attempt is connected and sent now."""
        if self._work is not None:
            self._work.is_sent = True

    def record_event(self) -> None:
        """Record a stream event of the current attempt."""
        if self._work is not None:
            self._quarantine.record_event(self._work)

    def record_answer(self) -> None:
        """Record that the current attempt was answered completely."""
        if self._work is not None:
            self._work.is_answered = True


def _parts_of(call: Call) -> RequestParts:
    """Return the parts of a call; the whole has its path, caller and body."""
    prompt = call.prompt
    return RequestParts(
        [part.part_id for part in prompt.parts] if prompt else (),
        (
            call.method.encode(),
            call.authority.encode(),
            call.target,
            call.key.encode(),
            call.body,
        ),
    )
