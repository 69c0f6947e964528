"""Log events of the claims component."""

from marigoldhoist.core.events import declare_event

CLAIM_UNKNOWN = declare_event(
    2301,
    'claim_unknown',
    'warning',
    'A claim may be on the log; the call is refused and the claim released.',
)
COVERAGE_SHORT = declare_event(
    2302,
    'coverage_short',
    'warning',
    'Claims before this record were not read; older orders are refused.',
)
