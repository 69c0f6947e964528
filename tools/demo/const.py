"""Sizes, times and limits of the demo."""

from typing import Final

DOMAINS: Final = ('zg-trnje', 'zg-dubrava', 'zg-susedgrad')
DAEMONS_PER_DOMAIN: Final = 3
ENGINES_PER_DOMAIN: Final = 2
MODEL: Final = 'pult-model'
VERSIONS: Final = ('small', 'medium', 'large')
WITHDRAWN_VERSION: Final = 'medium'
SERVICE: Final = 'pult-narudzbe'
ORDER_PATH: Final = f'{SERVICE}/deposits'

LOG_PORT: Final = 7000
HOSTS_PORT: Final = 7001
ENTRY_PORT: Final = 7100
PEER_PORT: Final = 7200
UPSTREAM_PORT: Final = 7400
MAX_REQUESTS: Final = 32

CALLER_THREADS: Final = 12
SESSIONS: Final = 24
LOAD_S: Final = 20.0
# WITHDRAW_AT_S, KILL_AT_S and STOP_AT_S count from the start of the load.
WITHDRAW_AT_S: Final = 7.0
KILL_AT_S: Final = 10.0
STOP_AT_S: Final = 13.0
CHANGE_INTERVAL_S: Final = 3.0
PAUSE_S: Final = 0.1
START_TIMEOUT_S: Final = 15.0
SETTLE_TIMEOUT_S: Final = 6.0
MAX_RESENDS: Final = 6
HOST_LIST_LAG_S: Final = 1.0
MAX_CHANGE_DELAY_S: Final = 4.0
MIN_ANSWERED_SHARE: Final = 0.99
