"""Run daemons as child processes."""

import pathlib
import sys

import urllib3

from marigoldhoist.components.hosts.models import HostEntry, HostRole
from tools.world.addresses import next_address
from tools.world.caller import Caller
from tools.world.processes import Processes
from tools.world.samples import WORKSPACE_KEY, settings_text
from tools.world.world import PEER_PORT, World, wait_until

HTTP_OK = 200


class DaemonProcesses:
    """Daemons that can be suspended and killed; a context manager."""

    def __init__(self, world: World, folder: pathlib.Path) -> None:
        self.processes = Processes(folder)
        self._world = world
        self._folder = folder

    def __enter__(self) -> 'DaemonProcesses':
        """Return itself."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Stop all daemons."""
        self.processes.stop_all()

    def start(self, host: str, domain: str) -> None:
        """Start and register a daemon; wait until it lists models."""
        address = next_address()
        platform = self._world.platform_address
        settings = self._folder / f'{host}.json'
        settings.write_text(
            settings_text(
                host,
                domain,
                address,
                platform,
                platform,
                self._world.entry_settings,
            )
        )
        self._world.register_host(
            HostEntry(host, HostRole.DAEMON, address, PEER_PORT, domain)
        )
        command = ('-m', 'marigoldhoist', 'serve', str(settings))
        self.processes.start(host, sys.executable, *command)
        wait_until(lambda: self._is_ready(host), f'{host} to be ready')

    def caller(self, host: str) -> Caller:
        """Return a new caller of a daemon, with the sample workspace key."""
        return Caller(self._world.address_of(host), WORKSPACE_KEY)

    def _is_ready(self, host: str) -> bool:
        try:
            reply = self.caller(host).send('GET', '/v1/models', b'')
        except urllib3.exceptions.HTTPError:
            return False
        return reply.status == HTTP_OK
