"""Log events of the gateway component."""

from marigoldhoist.core.events import declare_event

REQUEST_SENT = declare_event(
    3800, 'request_sent', 'info', 'A request was sent to a replica.'
)
REQUEST_ENDED = declare_event(
    3801, 'request_ended', 'info', "A replica's answer was delivered whole."
)
REQUEST_FAILED = declare_event(
    3802,
    'request_failed',
    'warning',
    'A request got a refusal or failure of the daemon itself.',
)
REQUEST_BROKEN_OFF = declare_event(
    3803,
    'request_broken_off',
    'warning',
    'An answer that had begun could not be finished.',
)
CALLER_LEFT = declare_event(
    3804, 'caller_left', 'info', 'A caller left before its answer was whole.'
)
ANSWER_FAILED = declare_event(
    3816,
    'answer_failed',
    'info',
    'A replica answered that it failed; it is passed on unless another try is'
    ' allowed.',
)
NOT_SENT_AGAIN = declare_event(
    3817,
    'not_sent_again',
    'info',
    'A request that failed at a replica gets no other try.',
)
ATTEMPT_FAILED = declare_event(
    3805,
    'attempt_failed',
    'warning',
    'A replica gave no answer that can be delivered.',
)
STREAM_RESUMED = declare_event(
    3806, 'stream_resumed', 'info', 'A stream goes on at another replica.'
)
MODEL_RAISED = declare_event(
    3807,
    'model_raised',
    'info',
    'A doubtful answer was dropped and a larger model is asked.',
)
ANSWER_PASSED_OVER = declare_event(
    3808,
    'answer_passed_over',
    'warning',
    'An answer to another request came on a connection to a replica.',
)
CALLER_MALFORMED = declare_event(
    3809, 'caller_malformed', 'warning', 'A caller sent no valid request.'
)
GATEWAY_LISTENING = declare_event(
    3810, 'gateway_listening', 'info', 'Callers can connect.'
)
STOP_BEGUN = declare_event(
    3811, 'stop_begun', 'info', 'Told to stop; what is in flight is finished.'
)
STOP_ENDED = declare_event(
    3812, 'stop_ended', 'info', 'The stop is over; some may have been cut.'
)
READINESS_CHANGED = declare_event(
    3813, 'readiness_changed', 'info', 'What the balancer is told changed.'
)
