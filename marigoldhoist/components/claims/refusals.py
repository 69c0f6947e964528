"""Responses to non-repeatable requests that are not run now."""

from marigoldhoist.components.claims.const import RETRY_AFTER_S
from marigoldhoist.components.claims.fold import ClaimState
from marigoldhoist.components.claims.models import OutcomeBody
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerResponse
from marigoldhoist.core.verdict import Verdict


def existing_result(
    state: ClaimState,
) -> RequestFailure | CallerResponse | None:
    """Return the response to a duplicate request, None if it is unclaimed.

    This is the recorded response if there is one, else a failure with the
    verdict on the first request.
    """
    if not state.holder:
        return None
    outcome = state.outcome
    if outcome is None:
        return _duplicate(Verdict.MAY_HAVE_RUN)
    if outcome.has_answer:
        return _recorded_answer(outcome)
    return _duplicate(outcome.verdict)


def log_unavailable() -> RequestFailure:
    """Return the failure for a request that could not be claimed."""
    return RequestFailure(
        ErrorCode.LOG_UNAVAILABLE,
        'the order cannot be claimed on the log; send the same id again',
        Verdict.NOT_RUN,
        RETRY_AFTER_S,
    )


def not_covered() -> RequestFailure:
    """Return the failure for a request whose claims were not all read."""
    return RequestFailure(
        ErrorCode.LOG_UNAVAILABLE,
        'this daemon has not read the claims of that time',
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_S,
    )


def too_old() -> RequestFailure:
    """Return the failure for a request whose claim may have expired."""
    return RequestFailure(
        ErrorCode.ORDER_TOO_OLD,
        'the order is older than the window',
        Verdict.MAY_HAVE_RUN,
    )


def timestamp_in_future() -> RequestFailure:
    """Return the failure for a request id with a time in the future."""
    return RequestFailure(
        ErrorCode.BAD_REQUEST, 'X-Request-Id carries a time in the future'
    )


def no_timestamp() -> RequestFailure:
    """Return the failure for a request id without a timestamp."""
    return RequestFailure(
        ErrorCode.BAD_REQUEST,
        'X-Request-Id of a call that runs once must be a UUIDv7',
    )


def _duplicate(verdict: Verdict) -> RequestFailure:
    return RequestFailure(
        ErrorCode.DUPLICATE_REQUEST,
        'a call with this id was accepted before',
        verdict,
    )


def _recorded_answer(outcome: OutcomeBody) -> CallerResponse:
    return CallerResponse(
        status=outcome.status,
        content_type=outcome.content_type,
        serving=outcome.serving,
        body=iter((outcome.body,)),
    )
