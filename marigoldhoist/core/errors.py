"""Exceptions and caller-visible errors that components share."""

import dataclasses
import enum

from marigoldhoist.core.verdict import Verdict


class MarigoldhoistError(Exception):
    """Base class of the exceptions that this project defines."""


class SettingsError(MarigoldhoistError):
    """A settings file is missing, malformed or out of range."""


class KernelError(MarigoldhoistError):
    """Components are wired incorrectly, such as by a dependency cycle."""


class ErrorCode(enum.Enum):
    """Stable error codes, sent to callers, who may match on them."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    HEAD_TOO_LARGE = 'head_too_large'
    TOO_SLOW = 'too_slow'
    UNAUTHORIZED = 'unauthorized'
    MODEL_NOT_ALLOWED = 'model_not_allowed'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ROUTE = 'unknown_route'
    NO_TABLE = 'no_table'
    STALE_TABLE = 'stale_table'
    NO_VERSION = 'no_version'
    NO_REPLICA = 'no_replica'
    OVER_LIMIT = 'over_limit'
    OVERLOADED = 'overloaded'
    PROMPT_PART_HELD = 'prompt_part_held'
    REQUEST_HELD = 'request_held'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    DRAINING = 'draining'
    LOG_UNAVAILABLE = 'log_unavailable'
    DUPLICATE_REQUEST = 'duplicate_request'
    ORDER_TOO_OLD = 'order_too_old'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_CUT = 'upstream_cut'
    INTERNAL = 'internal'


HTTP_STATUS_BY_CODE = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEAD_TOO_LARGE: 431,
    ErrorCode.TOO_SLOW: 408,
    ErrorCode.UNAUTHORIZED: 401,
    ErrorCode.MODEL_NOT_ALLOWED: 403,
    ErrorCode.UNKNOWN_MODEL: 404,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.DUPLICATE_REQUEST: 409,
    ErrorCode.ORDER_TOO_OLD: 409,
    ErrorCode.OVER_LIMIT: 429,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.UPSTREAM_CUT: 502,
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.INTERNAL: 500,
}

DEFAULT_HTTP_STATUS = 503


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailure:
    """Why a request was not answered, and whether an upstream may have run it.

    If set, `retry_after_s` is the delay in seconds after which the caller may
    try again.
    """

    code: ErrorCode
    message: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """Return the HTTP status code of the response to the caller."""
        return HTTP_STATUS_BY_CODE.get(self.code, DEFAULT_HTTP_STATUS)
