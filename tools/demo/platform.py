"""HTTP client for the fake platform services and upstreams."""

import time
from typing import Any

import msgspec
import urllib3

from marigoldhoist.components.hosts.models import HostEntry, HostList
from marigoldhoist.components.platform_log.models import (
    AppendReply,
    AppendRequest,
    LogEntry,
    ReadReply,
    Record,
)
from tools.demo.const import START_TIMEOUT_S
from tools.demo.plan import Plan

READ_LIMIT = 1000
POLL_INTERVAL_S = 0.05


class PlatformClient:
    """Accesses log, host list and upstreams directly, not through daemons."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._pool = urllib3.PoolManager(retries=False)

    def wait_for(self, url: str) -> None:
        """Wait until a GET of the URL gets a reply, whatever its status."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                self._pool.request('GET', url, timeout=1)
            except urllib3.exceptions.HTTPError:
                time.sleep(POLL_INTERVAL_S)
            else:
                return
        raise TimeoutError(f'no reply from {url}')

    def append_table(self, record: Record) -> int:
        """Append a record to the table stream and return its offset."""
        reply = self._pool.request(
            'POST',
            f'{self._plan.log_url}/streams/table/records',
            body=msgspec.json.encode(AppendRequest((record,))),
        )
        return msgspec.json.decode(reply.data, type=AppendReply).offsets[0]

    def entries(self, stream: str) -> list[LogEntry]:
        """Return all entries of a stream."""
        entries: list[LogEntry] = []
        while True:
            query = f'from={len(entries)}&limit={READ_LIMIT}'
            url = f'{self._plan.log_url}/streams/{stream}/records?{query}'
            read = msgspec.json.decode(
                self._pool.request('GET', url).data, type=ReadReply
            )
            if not read.entries:
                return entries
            entries.extend(read.entries)

    def replace_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Replace the platform's host list."""
        self._pool.request(
            'POST',
            f'{self._plan.hosts_url}/hosts',
            body=msgspec.json.encode(HostList(hosts)),
        )

    def fetch(self, host: HostEntry, path: str) -> Any:
        """Return the JSON document at a path of a fake upstream."""
        url = f'http://{host.address}:{host.port}{path}'
        return msgspec.json.decode(self._pool.request('GET', url).data)
