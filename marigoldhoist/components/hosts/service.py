"""Poll the host list and keep the last one that could be read."""

import msgspec
import urllib3

from marigoldhoist.components.hosts.const import FETCH_TIMEOUT_S
from marigoldhoist.components.hosts.events import HOSTS_UNREADABLE
from marigoldhoist.components.hosts.models import HostEntry, HostList, HostRole
from marigoldhoist.components.hosts.settings import HostSettings
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.core.events import emit
from marigoldhoist.core.http_client import new_pool
from marigoldhoist.core.kernel import BaseService, Kernel


class HostService(BaseService):
    """Polls the host list; during an outage the last list stays in use."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._settings = kernel.settings.section(HostSettings)
        self._pool = new_pool(max_hosts=1)
        self._is_readable = True
        self.hosts_by_name: dict[str, HostEntry] = {}

    def start(self) -> None:
        """Fetch the list once, then poll it in the background."""
        self.refresh()
        self._kernel.spawn('hosts', self._poll)

    def with_role(self, role: HostRole) -> tuple[HostEntry, ...]:
        """Return the listed hosts that have the given role."""
        return tuple(
            entry for entry in self.hosts_by_name.values() if entry.role is role
        )

    def refresh(self) -> None:
        """Fetch the list; log and keep the last one if that fails."""
        try:
            host_list = self._fetch()
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            self._set_readable(False, str(error))
            return
        self._set_readable(True, '')
        self.hosts_by_name = {entry.host: entry for entry in host_list.hosts}

    def _fetch(self) -> HostList:
        reply = self._pool.request(
            'GET', f'{self._settings.url}/hosts', timeout=FETCH_TIMEOUT_S
        )
        return decode_json(reply.data, HostList)

    def _poll(self) -> None:
        while not self._kernel.stopping.wait(self._settings.poll_interval_s):
            self.refresh()

    def _set_readable(self, is_readable: bool, error: str) -> None:
        if self._is_readable and not is_readable:
            emit(HOSTS_UNREADABLE, error=error)
        self._is_readable = is_readable
