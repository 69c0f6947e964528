"""Run the demo: start all processes, send load, inject failures, report."""

import dataclasses
import pathlib
import sys
import threading
import time

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.table.const import CHANGE_KIND
from marigoldhoist.components.table.models import TableChange
from marigoldhoist.core.const import MS_PER_S
from tools.demo.balancer import Balancer
from tools.demo.const import (
    CALLER_THREADS,
    ENTRY_PORT,
    HOSTS_PORT,
    KILL_AT_S,
    LOAD_S,
    LOG_PORT,
    MODEL,
    SETTLE_TIMEOUT_S,
    STOP_AT_S,
    WITHDRAW_AT_S,
    WITHDRAWN_VERSION,
)
from tools.demo.load import LoadCaller, SentRequest
from tools.demo.plan import initial_rows, make_plan, write_settings
from tools.demo.platform import PlatformClient
from tools.demo.probe import Probe
from tools.demo.report import Report, ReportBuilder
from tools.world.processes import Processes
from tools.world.samples import make_table_change

POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class DemoEvents:
    """Unix time of the withdrawal and exit code of the planned stop."""

    withdrawn_s: float
    stop_exit_code: int


class Demo:
    """One run of the demo."""

    def __init__(
        self, processes: Processes, folder: pathlib.Path, daemon: list[str]
    ) -> None:
        self._processes = processes
        self._folder = folder
        self._daemon = daemon
        self._plan = make_plan()
        self._platform = PlatformClient(self._plan)
        self._daemons = self._plan.with_role(HostRole.DAEMON)
        self._balancer = Balancer(self._daemons, seed=1)
        self._started_s = time.monotonic()

    def run(self) -> Report:
        """Run the demo and return its report."""
        self._start()
        stopping = threading.Event()
        callers = [
            LoadCaller(self._balancer, seed) for seed in range(CALLER_THREADS)
        ]
        probe = Probe(self._platform, self._balancer)
        targets = [caller.run for caller in callers]
        targets.append(probe.run)
        threads = [
            threading.Thread(target=target, args=(stopping,))
            for target in targets
        ]
        for starting in threads:
            starting.start()
        events = self._inject_failures()
        stopping.set()
        for ending in threads:
            ending.join()
        sent = [request for caller in callers for request in caller.sent]
        return self._build_report(sent, events, probe)

    def _start(self) -> None:
        self._print_progress(
            'starting the platform, 6 engines and 3 plain services'
        )
        platform = self._plan.platform
        self._processes.start_standin('log', 'log', platform, LOG_PORT)
        self._processes.start_standin('hosts', 'hosts', platform, HOSTS_PORT)
        for engine in self._plan.with_role(HostRole.ENGINE):
            self._start_upstream(engine, 'engine')
        for service in self._plan.with_role(HostRole.SERVICE):
            self._start_upstream(service, 'plain')
        self._platform.wait_for(f'{self._plan.log_url}/streams/table/records')
        self._platform.wait_for(f'{self._plan.hosts_url}/hosts')
        self._append(make_table_change(initial_rows()))
        self._platform.replace_hosts(self._plan.hosts)
        self._start_daemons()

    def _start_daemons(self) -> None:
        self._print_progress('starting 9 daemons in 3 failure domains')
        paths_by_host = write_settings(self._plan, self._folder)
        for host, path in paths_by_host.items():
            self._processes.start(host, *self._daemon, 'serve', str(path))
        for daemon in self._daemons:
            self._wait_for_daemon(daemon)

    def _wait_for_daemon(self, daemon: HostEntry) -> None:
        try:
            self._platform.wait_for(f'http://{daemon.address}:{ENTRY_PORT}/')
        except TimeoutError:
            self._print_progress(self._processes.read_output(daemon.host))
            raise

    def _start_upstream(self, host: HostEntry, kind: str) -> None:
        self._processes.start_standin(host.host, kind, host.address, host.port)

    def _inject_failures(self) -> DemoEvents:
        started_s = time.monotonic()
        self._print_progress(f'starting {CALLER_THREADS} callers')
        _sleep_until(started_s + WITHDRAW_AT_S)
        self._print_progress(f'withdrawing {MODEL}/{WITHDRAWN_VERSION}')
        offset = self._append(_withdrawal())
        withdrawn = self._platform.entries(TABLE_STREAM)[offset]
        withdrawn_s = withdrawn.time_ms / MS_PER_S
        _sleep_until(started_s + KILL_AT_S)
        killed, stopped = self._daemons[0].host, self._daemons[-1].host
        self._print_progress(f'killing {killed}')
        self._processes.kill(killed)
        self._remove_daemon(killed)
        _sleep_until(started_s + STOP_AT_S)
        self._print_progress(f'planned stop of {stopped}')
        self._processes.terminate(stopped)
        self._balancer.remove(stopped)
        exit_code = self._processes.wait(stopped)
        self._remove_daemon(stopped)
        _sleep_until(started_s + LOAD_S)
        return DemoEvents(withdrawn_s, exit_code)

    def _remove_daemon(self, host: str) -> None:
        """Remove a daemon from the balancer and the platform's host list."""
        self._balancer.remove(host)
        remaining = set(self._balancer.hosts)
        self._platform.replace_hosts(
            tuple(
                entry
                for entry in self._plan.hosts
                if entry.role is not HostRole.DAEMON or entry.host in remaining
            )
        )

    def _append(self, change: TableChange) -> int:
        return self._platform.append_table(new_record(CHANGE_KIND, change))

    def _build_report(
        self, sent: list[SentRequest], events: DemoEvents, probe: Probe
    ) -> Report:
        self._print_progress(f'{len(sent)} requests sent; building the report')
        builder = ReportBuilder(self._plan, self._platform)
        deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
        while builder.unbilled(sent) and time.monotonic() < deadline_s:
            time.sleep(POLL_INTERVAL_S)
        report = builder.build(sent, events.withdrawn_s)
        report.change_in_force_s_max = round(probe.longest_s, 3)
        report.planned_stop_exit_code = events.stop_exit_code
        return report

    def _print_progress(self, line: str) -> None:
        elapsed_s = time.monotonic() - self._started_s
        sys.stdout.write(f'{elapsed_s:5.1f} s  {line}\n')
        sys.stdout.flush()


def _withdrawal() -> TableChange:
    row = {'state': 'withdrawn', 'cost_per_1k_tokens': 4}
    return make_table_change(
        {f'version/{MODEL}/{WITHDRAWN_VERSION}': row}, base_revision=0
    )


def _sleep_until(moment_s: float) -> None:
    time.sleep(max(0, moment_s - time.monotonic()))
