"""Names that the platform's protocols define: headers, paths, record keys."""

from typing import Final

SETTINGS_PATH_VARIABLE: Final = 'MARIGOLDHOIST_NODE_FILE'

# Headers of callers' requests.
REQUEST_ID: Final = b'request-id'
# How long the caller waits for the response, in milliseconds.
REQUEST_DEADLINE: Final = b'request-deadline'
API_KEY: Final = b'x-api-key'
# Id of the last stream event that the caller received.
LAST_EVENT_ID: Final = b'last-event-id'
MODEL: Final = b'model'
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNT: Final = b'token-count'
# The parts of the prompt in order, each as ID:TOKENS, comma-separated.
PREFIX_HASH: Final = b'prefix-hash'
SESSION: Final = b'session'

# Headers of requests to replicas.
TENANT: Final = b'tenant'
# Host of the only replica that may run the request.
TARGET_INSTANCE: Final = b'target-instance'
# Headers that are never forwarded from callers: their credentials and headers
# that only this system may set.
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
# End-to-end headers, which are forwarded even if the caller lists them in its
# Connection header.
END_TO_END_HEADERS: Final = frozenset(
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
# Headers that apply to one connection and are never forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
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

# Headers of replicas' responses.
# The replica's signature of its response.
RESPONSE_SEAL: Final = b'response-seal'
# Present if the replica did not run the request.
NOT_EXECUTED: Final = b'not-executed'
# Running requests, queued requests and slots, separated by commas.
SERVER_LOAD: Final = b'server-load'
# Requests per second that the replica takes from all daemons together.
SERVER_LIMIT: Final = b'server-limit'
# Present if the replica is leaving.
SERVER_LEAVING: Final = b'server-leaving'
# Requests that a brittle replica can turn away in a second.
SERVER_BRITTLE: Final = b'server-brittle'
# Seconds for which a replica that turns a request away wants no other.
RETRY_AFTER: Final = b'retry-after'
# The model's confidence in its response, 0 to 100.
CONFIDENCE: Final = b'confidence'
KEEP_ALIVE: Final = b'keep-alive'
CONTENT_ENCODING: Final = b'content-encoding'

# Header of all answers of the store: rises by one each time the store was
# restored from an older copy.
STORE_ERA: Final = b'store-era'

# Status of a replica that is not the target instance of the request.
MISDIRECTED: Final = 421
# Status with which a replica turns a request away.
UNAVAILABLE: Final = 503

# Paths of the store's HTTP API.
READ_NEWEST: Final = '/marigoldhoist/log-newest'
READ_LOG: Final = '/marigoldhoist/log-read'
APPEND_LOG: Final = '/marigoldhoist/log-append'

# Keys of records in the store.
CONFIGURATION_KEY: Final = 'config'
ROLL_OUT_KEY_PREFIX: Final = 'rollout/'
# Keys of the product's own records among the states of roll-outs.
REJECTION_KEY_PREFIX: Final = 'rejected/'
