"""Log events of the quarantine component."""

from marigoldhoist.core.events import declare_event

REPLICA_CRASHED = declare_event(
    4001,
    'replica_crashed',
    'warning',
    'A replica ended with requests of this daemon in flight: their connections '
    'were lost and a new one was refused.',
)
CRASH_NOT_CONFIRMED = declare_event(
    4002,
    'crash_not_confirmed',
    'info',
    'A connection to a replica was lost, but the replica was not found to have '
    'ended; this speaks against no prompt part.',
)
PART_SUSPECTED = declare_event(
    4003,
    'prompt_part_suspected',
    'warning',
    'A prompt part or a whole request explains several crashes of replicas; '
    'requests with it are refused.',
)
PART_CLEARED = declare_event(
    4004,
    'prompt_part_cleared',
    'info',
    'A prompt part or a whole request that was suspected does not explain the '
    'crashes any more.',
)
PART_HELD = declare_event(
    4005,
    'prompt_part_held',
    'warning',
    'A request that crashes replicas, or all requests with such a prompt part, '
    'are refused for a time.',
)
PART_ON_PROBATION = declare_event(
    4006,
    'prompt_part_on_probation',
    'info',
    'Requests with a prompt part that was held back are sent again; one crash '
    'holds it back for longer.',
)
QUARANTINE_REPORT_IGNORED = declare_event(
    4007,
    'quarantine_report_ignored',
    'warning',
    'What another daemon reported of crashes was not valid.',
)
HELD_PARTS_READ = declare_event(
    4008,
    'held_parts_read',
    'info',
    'The prompt parts that daemons had stored as held back were read.',
)
HELD_PARTS_NOT_READ = declare_event(
    4009,
    'held_parts_not_read',
    'warning',
    'The stored prompt parts could not be read; it is tried again.',
)
PART_STORED = declare_event(
    4010,
    'prompt_part_stored',
    'info',
    'A prompt part that is held back was stored.',
)
PART_NOT_STORED = declare_event(
    4011,
    'prompt_part_not_stored',
    'warning',
    'A prompt part that is held back could not be stored; it is tried again.',
)
CRASH_REFUTED = declare_event(
    4012,
    'crash_refuted',
    'info',
    'A replica that was taken for crashed has answered since, this daemon or'
    ' another one; it speaks against no request and no prompt part.',
)
