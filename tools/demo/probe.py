"""Measure, as a caller, how long a table change takes to be in force."""

import threading
import time

import msgspec
import urllib3

from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.table.const import CHANGE_KIND
from tools.demo.balancer import Balancer, CallerPool
from tools.demo.const import CHANGE_INTERVAL_S, START_TIMEOUT_S
from tools.demo.plan import PROBE_KEY, probe_row
from tools.demo.platform import PlatformClient
from tools.world.samples import make_table_change

POLL_INTERVAL_S = 0.02


class Probe:
    """Changes one workspace's models and polls every daemon for the change.

    `longest_s` is the longest time until a change was in force at all daemons.
    """

    def __init__(self, platform: PlatformClient, balancer: Balancer) -> None:
        self._platform = platform
        self._balancer = balancer
        self._pool = CallerPool(balancer)
        self.longest_s: float = 0
        self.changes = 0

    def run(self, stopping: threading.Event) -> None:
        """Append one change after another until `stopping` is set."""
        revision = 0
        while not stopping.wait(CHANGE_INTERVAL_S):
            self.changes += 1
            change = make_table_change(
                {'workspace/probe': probe_row(self.changes)},
                base_revision=revision,
            )
            record = new_record(CHANGE_KIND, change)
            revision = self._platform.append_table(record)
            self._wait_until_in_force(time.monotonic(), self.changes % 2)

    def _wait_until_in_force(self, since_s: float, model_count: int) -> None:
        waiting = set(self._balancer.hosts)
        while waiting and time.monotonic() - since_s < START_TIMEOUT_S:
            waiting &= set(self._balancer.hosts)
            waiting -= {
                host
                for host in waiting
                if self._model_count_at(host) == model_count
            }
            time.sleep(POLL_INTERVAL_S)
        self.longest_s = max(self.longest_s, time.monotonic() - since_s)

    def _model_count_at(self, host: str) -> int | None:
        caller = self._pool.caller(host, PROBE_KEY)
        if caller is None:
            return None
        try:
            reply = caller.send('GET', '/v1/models', b'')
        except urllib3.exceptions.HTTPError:
            return None
        return len(msgspec.json.decode(reply.body).get('data', ()))
