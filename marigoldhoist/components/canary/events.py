"""Log events of the canary component."""

from marigoldhoist.core.events import declare_event

VERSION_REJECTED = declare_event(
    3713,
    'version_rejected',
    'info',
    'A version is known as rejected under an order; it gets no requests until '
    'it is ordered once more.',
)
REJECTION_LIFTED = declare_event(
    3714,
    'rejection_lifted',
    'info',
    'A version that was rejected may get requests: it is ordered once more, or '
    'another daemon had completed it.',
)
REJECTION_STORED = declare_event(
    3715,
    'rejection_stored',
    'info',
    'This daemon stored the standing of a version that was rejected.',
)
REJECTION_NOT_STORED = declare_event(
    3716,
    'rejection_not_stored',
    'warning',
    'Storing a rejection failed or its outcome is unknown; it is tried again.',
)
ROLL_OUT_ORDERED = declare_event(
    3701,
    'roll_out_ordered',
    'info',
    'The operator ordered a roll-out of a service to another version.',
)
ROLL_OUT_MOVED = declare_event(
    3702,
    'roll_out_moved',
    'info',
    'A stored status changed the state of a roll-out.',
)
VERSION_FOUND_BAD = declare_event(
    3703,
    'version_found_bad',
    'warning',
    'The new version fails more often or is slower than the others; this '
    'daemon sends it no more requests.',
)
EVIDENCE_PASSED_OVER = declare_event(
    3706,
    'evidence_passed_over',
    'warning',
    'The evidence of another daemon could not be decoded and is ignored; the '
    'daemon may run another release.',
)
STATUS_WRITTEN = declare_event(
    3704,
    'status_written',
    'info',
    'This daemon stored a new state of a roll-out.',
)
STATUS_NOT_WRITTEN = declare_event(
    3705,
    'status_not_written',
    'warning',
    'Storing a state of a roll-out failed or its outcome is unknown; the '
    'stored state is read back.',
)
ORDER_HELD = declare_event(
    3707,
    'roll_out_order_held',
    'info',
    'A store that was restored from an older copy has another order than the '
    'one in force; it is held until the operator had time to write again.',
)
STATUS_LOST = declare_event(
    3708,
    'status_lost',
    'warning',
    'The store has lost the state of a roll-out; it is stored again.',
)
STATUS_CONFLICT = declare_event(
    3709,
    'status_conflict',
    'error',
    'The store has another final state of a roll-out than this daemon knows; '
    'neither is changed.',
)
RAMP_UP_CLEARED = declare_event(
    3710,
    'ramp_up_cleared',
    'info',
    'The evidence speaks for the new version; more sessions may move to it. '
    'The ratios are log likelihood ratios of a fault.',
)
RAMP_UP_HELD = declare_event(
    3711,
    'ramp_up_held',
    'warning',
    'The evidence does not speak for the new version yet; it keeps the share '
    'of sessions that it has.',
)
VERSION_CONFIRMED = declare_event(
    3717,
    'version_confirmed',
    'info',
    'The evidence allows to complete a roll-out; the sessions that stayed on '
    'the other versions for comparison move to the new one.',
)
COMPLETION_HELD = declare_event(
    3712,
    'completion_held',
    'warning',
    'A roll-out is due to be completed, but the evidence does not speak for '
    'the new version yet; the old replicas stay.',
)
COMPLETED_VERSION_FAILS = declare_event(
    3718,
    'completed_version_fails',
    'warning',
    'Answers of a version that was completed a short time ago failed at this '
    'daemon; the roll-out cannot be undone.',
)
