"""Check the prompt parts of one call against the quarantine."""

import contextlib
from collections.abc import Iterator

from marigoldhoist.components.directory.models import Replica
from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.progress import CallProgress
from marigoldhoist.components.quarantine.part_ids import shared_part_ids
from marigoldhoist.components.quarantine.service import QuarantineService
from marigoldhoist.components.quarantine.work import Work
from marigoldhoist.core.errors import ErrorCode, RequestFailure


class PartGuard:
    """Refuses a call with a held part and reports its attempts."""

    def __init__(
        self, progress: CallProgress, quarantine: QuarantineService
    ) -> None:
        self._quarantine = quarantine
        prompt = progress.call.prompt
        self._part_ids = shared_part_ids(
            [part.part_id for part in prompt.parts] if prompt else ()
        )
        self._work: Work | None = None

    def held_part_failure(self) -> RequestFailure | None:
        """Return the refusal of a call with a held part, None for others."""
        hold = self._quarantine.find_hold(self._part_ids)
        if hold is None:
            return None
        return RequestFailure(
            ErrorCode.PROMPT_PART_HELD,
            f'prompt part {hold.part_id} crashes replicas',
            retry_after_s=hold.left_s,
        )

    @contextlib.contextmanager
    def tracked(self, replica: Replica) -> Iterator[None]:
        """Report an attempt, its end and the loss of its connection."""
        work = self._quarantine.begin(replica, self._part_ids)
        self._work = work
        try:
            yield
        except AttemptError as error:
            if error.is_connection_lost:
                self._quarantine.inspect(work)
            raise
        finally:
            self._quarantine.end(work)

    def record_event(self) -> None:
        """Record a stream event of the current attempt."""
        if self._work is not None:
            self._quarantine.record_event(self._work)

    def record_answer(self) -> None:
        """Record that the current attempt was answered completely."""
        if self._work is not None:
            self._work.is_answered = True
