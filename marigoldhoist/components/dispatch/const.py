"""Constants of the dispatch component."""

from typing import Final

COMPONENT: Final = 'dispatch'

CHAT_PATH: Final = '/v1/chat/completions'
MAX_ATTEMPTS: Final = 3
# The table states prices as cost_per_1k_tokens.
TOKENS_PER_PRICE_UNIT: Final = 1000
HTTP_CLIENT_ERROR: Final = 400
HTTP_SERVER_ERROR: Final = 500
REQUEST_ID_HEADER: Final = 'X-Request-Id'
DEADLINE_HEADER: Final = 'X-Deadline-Ms'
VERSION_HEADER: Final = 'X-Served-Version'
VERDICT_HEADER: Final = 'X-Verdict'
JSON_TYPE: Final = 'application/json'
LAST_CHUNK_TIMEOUT_S: Final = 0.2
RESUME_HEADER: Final = 'X-Resume-From'
PRIORITY_HEADER: Final = 'X-Priority'
# Engines serve requests with a lower priority value first.
PRIORITY_RESUME: Final = 1
PRIORITY_NORMAL: Final = 5
PRIORITY_HEDGE: Final = 8
# Kinds of extra attempts, which are charged to the retry budget and counted
# in metrics by these names.
RETRY: Final = 'retry'
HEDGE: Final = 'hedge'
RESUME: Final = 'resume'
END_MARK: Final = b'data: [DONE]\n\n'
EVENT_DATA_PREFIX: Final = b'data: '
