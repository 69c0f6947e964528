"""Run fake servers and daemons in the test process."""

import os
import threading
import time
from collections.abc import Callable, Iterable

from marigoldhoist.components.hosts.models import HostEntry, HostRole, HostState
from marigoldhoist.components.platform_log.const import TABLE_STREAM
from marigoldhoist.components.platform_log.models import new_record
from marigoldhoist.components.table.const import CHANGE_KIND
from marigoldhoist.components.table.models import TableChange
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.settings import parse_settings
from tools.standins.engine import EngineServer
from tools.standins.hosts import HostServer
from tools.standins.log import LogFaults, LogServer
from tools.standins.plain import PlainServer
from tools.standins.web import WebServer
from tools.world.addresses import next_address
from tools.world.samples import (
    PEER_KEY,
    SAMPLE_ROWS,
    make_table_change,
    settings_text,
)

LOG_PORT = 7000
HOSTS_PORT = 7001
ENTRY_PORT = 7100
PEER_PORT = 7200
OPERATOR_PORT = 7300
UPSTREAM_PORT = 7400
WAIT_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.01


class World:
    """A fake platform with upstreams and daemons that discover each other.

    Use it as a context manager: leaving the block stops every server.
    """

    def __init__(self, rows: dict[str, object] | None = None) -> None:
        self.platform_address = next_address()
        self.log = LogServer(self.platform_address, LOG_PORT)
        self.hosts = HostServer(self.platform_address, HOSTS_PORT)
        self.engines_by_host: dict[str, EngineServer] = {}
        self.plain_services_by_host: dict[str, PlainServer] = {}
        self.kernels_by_host: dict[str, Kernel] = {}
        self.logs_by_host: dict[str, LogServer] = {}
        self._entries_by_host: dict[str, HostEntry] = {}
        self._servers: list[WebServer] = []
        self.entry_settings: dict[str, object] = {}
        self.change_table(
            make_table_change(SAMPLE_ROWS if rows is None else rows)
        )

    def __enter__(self) -> 'World':
        """Start the log and the host list."""
        os.environ['MARIGOLDHOIST_PEER_KEY'] = PEER_KEY
        load_components()
        self._start_server(self.log.server)
        self._start_server(self.hosts.server)
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop all daemons, then all fake servers."""
        kernels = list(self.kernels_by_host.values())
        _run_concurrently(kernel.stop for kernel in kernels)
        _run_concurrently(server.stop for server in self._servers)

    def change_table(self, change: TableChange) -> int:
        """Append a table change to the log and return its offset."""
        record = new_record(CHANGE_KIND, change)
        return self.log.store.append(TABLE_STREAM, (record,))[0]

    def add_engine(
        self, host: str, domain: str, *serves: str, token_time_s: float = 0.001
    ) -> EngineServer:
        """Start and register a fake engine that serves the given versions."""
        address = next_address()
        engine = EngineServer(address, UPSTREAM_PORT, token_time_s)
        self.engines_by_host[host] = engine
        self._start_server(engine.server)
        self.register_host(
            HostEntry(
                host,
                HostRole.ENGINE,
                address,
                UPSTREAM_PORT,
                domain,
                serves=serves,
            )
        )
        return engine

    def add_plain(self, host: str, domain: str, service: str) -> PlainServer:
        """Start and register a fake replica of a plain service."""
        address = next_address()
        plain = PlainServer(address, UPSTREAM_PORT)
        self.plain_services_by_host[host] = plain
        self._start_server(plain.server)
        self.register_host(
            HostEntry(
                host,
                HostRole.SERVICE,
                address,
                UPSTREAM_PORT,
                domain,
                serves=(service,),
            )
        )
        return plain

    def add_daemon(
        self, host: str, domain: str, log_faults: LogFaults | None = None
    ) -> Kernel:
        """Start a daemon with a log server of its own and register it.

        All log servers share one store, so that `log_faults` affect only
        this daemon.
        """
        address = next_address()
        own_log = LogServer(next_address(), LOG_PORT, self.log.store)
        own_log.faults = log_faults or LogFaults()
        self.logs_by_host[host] = own_log
        self._start_server(own_log.server)
        text = settings_text(
            host,
            domain,
            address,
            own_log.server.address,
            self.platform_address,
            self.entry_settings,
        )
        self.register_host(
            HostEntry(host, HostRole.DAEMON, address, PEER_PORT, domain)
        )
        kernel = Kernel(parse_settings(text))
        self.kernels_by_host[host] = kernel
        kernel.start()
        return kernel

    def set_log_faults(self, faults: LogFaults, *hosts: str) -> None:
        """Set the log faults of the given daemons, or of all daemons."""
        for host in hosts or tuple(self.logs_by_host):
            self.logs_by_host[host].faults = faults

    def stop_daemon(self, host: str) -> None:
        """Stop a daemon gracefully and deregister it."""
        self.kernels_by_host.pop(host).stop()
        self.deregister_host(host)

    def crash_daemon(self, host: str) -> None:
        """Simulate a kill: stop a daemon without draining or handover."""
        kernel = self.kernels_by_host.pop(host)
        self.logs_by_host[host].faults = LogFaults(is_down=True)
        kernel.stopping.set()
        for service in kernel.services_by_name.values():
            service.stop()
        self.deregister_host(host)

    def address_of(self, host: str) -> str:
        """Return a host's address."""
        return self._entries_by_host[host].address

    def register_host(self, entry: HostEntry) -> None:
        """Add a host to the platform's host list or replace its entry."""
        self._entries_by_host[entry.host] = entry
        self.hosts.store.set(tuple(self._entries_by_host.values()))

    def deregister_host(self, host: str) -> None:
        """Remove a host from the platform's host list."""
        self._entries_by_host.pop(host, None)
        self.hosts.store.set(tuple(self._entries_by_host.values()))

    def mark_leaving(self, host: str) -> None:
        """Set a host's state to LEAVING in the platform's host list."""
        entry = self._entries_by_host[host]
        self.register_host(
            HostEntry(
                entry.host,
                entry.role,
                entry.address,
                entry.port,
                entry.failure_domain,
                HostState.LEAVING,
                entry.serves,
            )
        )

    def _start_server(self, server: WebServer) -> None:
        server.start()
        self._servers.append(server)


def _run_concurrently(calls: Iterable[Callable[[], None]]) -> None:
    threads = [threading.Thread(target=call) for call in calls]
    for starting in threads:
        starting.start()
    for ending in threads:
        ending.join()


def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Poll a condition; raise AssertionError after WAIT_TIMEOUT_S."""
    deadline_s = SYSTEM_CLOCK.monotonic_s() + WAIT_TIMEOUT_S
    while not condition():
        if SYSTEM_CLOCK.monotonic_s() > deadline_s:
            raise AssertionError(f'timed out waiting for: {description}')
        _pause()


def _pause() -> None:
    time.sleep(POLL_INTERVAL_S)
