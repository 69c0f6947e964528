"""Constants of the quarantine component."""

from typing import Final

COMPONENT: Final = 'quarantine'
# Subject under which daemons share what they know of crashes.
SUBJECT: Final = 'prompt-parts'

# Crashes after which a part without answers is held back.
MIN_CRASHES: Final = 3
# The same for a part that had answers lately. It is probably innocent and only
# common, so its crashes must also span `MIN_ANSWERED_SPAN_S`.
MIN_CRASHES_ANSWERED: Final = 8
MIN_ANSWERED_SPAN_S: Final = 3.0
# Crashes after which the place in the prompt decides between parts that were
# at the same ones. Until then, one may be a sound part of the same request.
MIN_CRASHES_BY_DEPTH: Final = 5
# Crashes without the request that was at most of them, after which a part of
# that request may be at fault instead of the request itself.
MIN_CRASHES_OF_OTHERS: Final = 2
# Replicas that end within this time of each other count as one crash, as by a
# loss of power or of a link.
SAME_MOMENT_S: Final = 0.02
# An answer speaks for the parts of its prompt for this long.
ANSWER_MEMORY_S: Final = 30.0
# A replica that sends events for this long does not crash on the prompt.
SURVIVAL_S: Final = 1.0
# A part that was answered within this time is no candidate of a crash.
FRESH_ANSWER_S: Final = 1.0
# Crashes are forgotten after this time.
CRASH_MEMORY_S: Final = 120.0
# A call that ended without an answer may have caused a crash this much later.
ENDED_CALL_MEMORY_S: Final = 0.5
# A crash is noticed at a lost connection, and confirmed by a connection that is
# refused.
INSPECTION_TIMEOUT_S: Final = 0.4
# A replica that answers any daemon this long after it was taken for crashed is
# only cut off from the daemon that did.
REFUTATION_S: Final = 0.5
# A part that was found is held for a fixed time once it was the culprit for
# this long, within which other daemons may report what clears it.
SETTLE_S: Final = 1.0
# A part is held back this long at first, and twice as long each further time.
FIRST_HOLD_S: Final = 600.0
MAX_HOLD_S: Final = 86_400.0

# Pause before the store is asked again after a call failed.
STORAGE_RETRY_S: Final = 1.0

MAX_ANSWERED_PARTS: Final = 8192
MAX_PARTS_PER_CALL: Final = 32
MAX_PARTS_PER_CRASH: Final = 128
MAX_CRASHES: Final = 24
# Parts that the log line of a crash names.
MAX_LOGGED_PARTS: Final = 8
MAX_HELD_PARTS: Final = 256
# Longer part ids are replaced by a hash.
MAX_PART_ID_LENGTH: Final = 32
