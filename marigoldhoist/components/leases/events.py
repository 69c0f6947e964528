"""Log events of the leases component."""

from marigoldhoist.core.events import declare_event

LEASE_WON = declare_event(
    2401, 'lease_won', 'info', 'This daemon acquired a lease.'
)
LEASE_LOST = declare_event(
    2402,
    'lease_lost',
    'warning',
    'This daemon no longer holds a lease, because it could not renew it.',
)
ORDER_REFUSED = declare_event(
    2403,
    'order_refused',
    'warning',
    'An engine refused an order that carried an outdated fencing token.',
)
