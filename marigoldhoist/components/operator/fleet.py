"""Ask every daemon that can be reached for its status."""

import concurrent.futures

import msgspec
from result import Ok

from marigoldhoist.components.hosts.models import HostRole
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.operator.const import (
    FLEET_CALLS,
    FLEET_TIMEOUT_S,
    STATUS_TOPIC,
)
from marigoldhoist.components.operator.models import Fleet, Status
from marigoldhoist.components.peers.service import PeerService


class FleetView:
    """Collects status from linked peers; the others are named as such."""

    def __init__(self, hosts: HostService, peers: PeerService) -> None:
        self._hosts = hosts
        self._peers = peers

    def collect(self, own: Status) -> Fleet:
        """Return the status of all reachable daemons."""
        linked = [peer.host for peer in self._peers.linked_peers()]
        with concurrent.futures.ThreadPoolExecutor(FLEET_CALLS) as pool:
            replies = list(pool.map(self._status_of, linked))
        found = [own, *(status for status in replies if status is not None)]
        reached = {status.host for status in found}
        listed = {
            entry.host for entry in self._hosts.with_role(HostRole.DAEMON)
        }
        return Fleet(
            daemons=tuple(sorted(found, key=lambda status: status.host)),
            unreachable=tuple(sorted(listed - reached)),
        )

    def _status_of(self, host: str) -> Status | None:
        reply = self._peers.call(host, STATUS_TOPIC, b'', FLEET_TIMEOUT_S)
        if not isinstance(reply, Ok) or not reply.ok_value:
            return None
        return msgspec.json.decode(reply.ok_value, type=Status)
