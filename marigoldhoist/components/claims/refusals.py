"""What a caller is told of an order that does not run now."""

from marigoldhoist.components.claims.const import RETRY_AFTER_S
from marigoldhoist.components.claims.fold import OrderState
from marigoldhoist.components.claims.models import OutcomeBody
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import Answer
from marigoldhoist.core.verdict import Verdict


def already_known(order: OrderState) -> RequestFailure | Answer | None:
    """Return the recorded answer or verdict, none where the order is free."""
    if not order.holder:
        return None
    outcome = order.outcome
    if outcome is None:
        return _duplicate(Verdict.MAY_HAVE_RUN)
    if outcome.has_answer:
        return _recorded(outcome)
    return _duplicate(outcome.verdict)


def log_unavailable() -> RequestFailure:
    """Return the refusal of an order that could not be claimed."""
    return RequestFailure(
        ErrorCode.LOG_UNAVAILABLE,
        'the order cannot be claimed on the log; send the same id again',
        Verdict.NOT_RUN,
        RETRY_AFTER_S,
    )


def not_covered() -> RequestFailure:
    """Return the refusal where older claims were not read here."""
    return RequestFailure(
        ErrorCode.LOG_UNAVAILABLE,
        'this daemon has not read the claims of that time',
        Verdict.MAY_HAVE_RUN,
        RETRY_AFTER_S,
    )


def too_old() -> RequestFailure:
    """Return the refusal of an order whose claim may be forgotten."""
    return RequestFailure(
        ErrorCode.ORDER_TOO_OLD,
        'the order is older than the window',
        Verdict.MAY_HAVE_RUN,
    )


def in_the_future() -> RequestFailure:
    """Return the refusal of an id whose time has not come."""
    return RequestFailure(
        ErrorCode.BAD_REQUEST, 'X-Request-Id carries a time in the future'
    )


def no_order_time() -> RequestFailure:
    """Return the refusal of an id that carries no time."""
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


def _recorded(outcome: OutcomeBody) -> Answer:
    return Answer(
        status=outcome.status,
        content_type=outcome.content_type,
        serving=outcome.serving,
        body=iter((outcome.body,)),
    )
