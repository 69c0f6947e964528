"""The platform's names, as they are on the wire, and what they mean."""

from typing import Final

SETTINGS_PATH_VARIABLE: Final = 'MARIGOLDHOIST_NODE_FILE'

# Headers of callers' requests.
REQUEST_ID: Final = b'request-id'
# Milliseconds that the caller will wait.
REQUEST_DEADLINE: Final = b'request-deadline'
API_KEY: Final = b'x-api-key'
# The last event of a stream that the caller has.
LAST_EVENT_ID: Final = b'last-event-id'
MODEL: Final = b'model'
# Tokens of the prompt and the most tokens of the output.
TOKEN_COUNT: Final = b'token-count'
# Parts of the prompt in order, ID:TOKENS each.
PREFIX_HASH: Final = b'prefix-hash'
SESSION: Final = b'session'

# Headers that only this system sets on requests to replicas.
TENANT: Final = b'tenant'
# The name of the one replica that may run the request.
TARGET_INSTANCE: Final = b'target-instance'
SYSTEM_HEADERS: Final = frozenset(
    (
        REQUEST_DEADLINE,
        API_KEY,
        TENANT,
        TARGET_INSTANCE,
        b'request-priority',
        b'expect-version',
        b'hold',
        b'pin-duration',
        b'kv-backup',
        b'kv-from',
        b'kv-fetch',
    )
)
# A caller may name these, but they do not concern one connection.
NEVER_CONNECTION_HEADERS: Final = frozenset(
    (
        REQUEST_ID,
        LAST_EVENT_ID,
        MODEL,
        TOKEN_COUNT,
        PREFIX_HASH,
        SESSION,
        b'host',
        b'content-type',
    )
)
CONNECTION_HEADERS: Final = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

# Headers of replicas' answers.
# The replica's signature of its answer.
RESPONSE_SEAL: Final = b'response-seal'
# Present where the replica did not run the request.
NOT_EXECUTED: Final = b'not-executed'
# Running requests, waiting requests and slots.
SERVER_LOAD: Final = b'server-load'
# The model's opinion of its answer, 0 to 100.
CONFIDENCE: Final = b'confidence'
KEEP_ALIVE: Final = b'keep-alive'
CONTENT_ENCODING: Final = b'content-encoding'

MISDIRECTED: Final = 421

# Calls to the store.
READ_NEWEST: Final = '/marigoldhoist/log-newest'
READ_LOG: Final = '/marigoldhoist/log-read'
APPEND_LOG: Final = '/marigoldhoist/log-append'

CONFIGURATION_KEY: Final = 'config'
ROLL_OUT_KEY_PREFIX: Final = 'rollout/'
