"""An answer whose first bytes have arrived."""

from collections.abc import Iterator

import urllib3
from result import Err, Ok, Result

from marigoldhoist.components.upstreams.answer import UpstreamAnswer
from marigoldhoist.components.upstreams.models import Replica
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.verdict import Verdict


class StartedAnswer:
    """An upstream's answer with the first bytes already read."""

    def __init__(
        self, answer: UpstreamAnswer, first: bytes, rest: Iterator[bytes]
    ) -> None:
        self.replica: Replica = answer.replica
        self.status = answer.status
        self.content_type = answer.content_type
        self.headers = answer.headers
        self._answer = answer
        self._first = first
        self._rest = rest

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it comes; urllib3 errors where it is cut."""
        yield self._first
        yield from self._rest

    def close(self) -> None:
        """Give back the connection, or drop it if the body was not read."""
        self._answer.close()


def started(answer: UpstreamAnswer) -> Result[StartedAnswer, RequestFailure]:
    """Wait for the first bytes of an answer."""
    rest = answer.chunks()
    try:
        first = next(rest, b'')
    except urllib3.exceptions.HTTPError as error:
        answer.close()
        return Err(
            RequestFailure(
                ErrorCode.UPSTREAM_FAILED,
                f'{answer.replica.host}: {type(error).__name__}',
                Verdict.MAY_HAVE_RUN,
            )
        )
    return Ok(StartedAnswer(answer, first, rest))
