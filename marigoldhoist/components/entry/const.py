"""Constants of the entry component."""

from typing import Final

COMPONENT: Final = 'entry'

SERVICE_PREFIX: Final = '/services/'
MODELS_PATH: Final = '/v1/models'
BEARER: Final = 'Bearer '
DRAIN_POLL_S: Final = 0.05
STOP_TIMEOUT_S: Final = 1
MAX_REQUEST_ID_CHARS: Final = 128
MAX_TASK_CHARS: Final = 64
OVERLOAD_RETRY_AFTER_S: Final = 1.0
SPARE_THREADS: Final = 16
# A complete head takes one packet or a few.
DEFAULT_HEAD_TIMEOUT_S: Final = 5.0
EVENT_STREAM_TYPE: Final = 'text/event-stream'
