"""Constants of the billing component."""

from typing import Final

COMPONENT: Final = 'billing'

BILL_KIND: Final = 'bill'
COPY_TOPIC: Final = 'billing.copy'
CONFIRMED_TOPIC: Final = 'billing.confirmed'
HAND_OVER_TOPIC: Final = 'billing.hand_over'
ACCEPTED: Final = b'taken'

APPEND_INTERVAL_S: Final = 0.25
APPEND_BATCH_SIZE: Final = 200
APPEND_TIMEOUT_S: Final = 2.0
HAND_OVER_CALL_TIMEOUT_S: Final = 1.0
