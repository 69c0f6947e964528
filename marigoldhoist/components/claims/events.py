"""Log events of the claims component."""

from marigoldhoist.core.events import declare_event

CLAIM_UNKNOWN = declare_event(
    2301,
    'claim_unknown',
    'warning',
    'A claim was not confirmed and may be on the log; the request is '
    'refused and the claim is released.',
)
COVERAGE_SHORT = declare_event(
    2302,
    'coverage_short',
    'warning',
    'Claims before this log offset were not read; requests that may have '
    'been claimed there are refused.',
)
