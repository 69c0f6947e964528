"""Keep the last host list that could be read."""

import msgspec
import urllib3

from marigoldhoist.components.hosts.const import FETCH_TIMEOUT_S
from marigoldhoist.components.hosts.events import HOSTS_UNREADABLE
from marigoldhoist.components.hosts.models import HostEntry, HostList, HostRole
from marigoldhoist.components.hosts.settings import HostSettings
from marigoldhoist.core.events import emit
from marigoldhoist.core.kernel import BaseService, Kernel


class HostService(BaseService):
    """Polls the host list; an outage leaves the last list in force."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(HostSettings)
        self._pool = urllib3.PoolManager(num_pools=1, retries=False)
        self._readable = True
        self.hosts_by_name: dict[str, HostEntry] = {}

    def start(self) -> None:
        """Read the list once, then keep reading."""
        self.refresh()
        self._kernel.spawn('hosts', self._poll)

    def with_role(self, role: HostRole) -> tuple[HostEntry, ...]:
        """Return the hosts of that role."""
        return tuple(
            entry for entry in self.hosts_by_name.values() if entry.role is role
        )

    def refresh(self) -> None:
        """Read the list now."""
        try:
            listed = self._fetch()
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            self._note_readable(False, str(error))
            return
        self._note_readable(True, '')
        self.hosts_by_name = {entry.host: entry for entry in listed.hosts}

    def _fetch(self) -> HostList:
        reply = self._pool.request(
            'GET', f'{self._settings.url}/hosts', timeout=FETCH_TIMEOUT_S
        )
        return msgspec.json.decode(reply.data, type=HostList)

    def _poll(self) -> None:
        while not self._kernel.stopping.wait(self._settings.poll_interval_s):
            self.refresh()

    def _note_readable(self, readable: bool, error: str) -> None:
        if self._readable and not readable:
            emit(HOSTS_UNREADABLE, error=error)
        self._readable = readable
