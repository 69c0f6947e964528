"""Collect the status of all daemons of the fleet."""

import concurrent.futures

from result import Ok

from marigoldhoist.components.hosts.models import HostRole
from marigoldhoist.components.hosts.service import HostService
from marigoldhoist.components.operator.const import (
    FLEET_TIMEOUT_S,
    MAX_CONCURRENT_FLEET_CALLS,
    STATUS_TOPIC,
)
from marigoldhoist.components.operator.models import DaemonStatus, FleetStatus
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.core.decoding import decode_json


class FleetStatusCollector:
    """Requests the status of connected peers; lists the rest as unreachable."""

    def __init__(self, hosts: HostService, peers: PeerService) -> None:
        self._hosts = hosts
        self._peers = peers

    def collect(self, own: DaemonStatus) -> FleetStatus:
        """Return the status of reachable daemons and the names of others."""
        linked = [peer.host for peer in self._peers.linked_peers()]
        with concurrent.futures.ThreadPoolExecutor(
            MAX_CONCURRENT_FLEET_CALLS
        ) as pool:
            peer_statuses = list(pool.map(self._status_of, linked))
        statuses = [
            own,
            *(status for status in peer_statuses if status is not None),
        ]
        reached = {status.host for status in statuses}
        listed = {
            entry.host for entry in self._hosts.with_role(HostRole.DAEMON)
        }
        return FleetStatus(
            daemons=tuple(sorted(statuses, key=lambda status: status.host)),
            unreachable=tuple(sorted(listed - reached)),
        )

    def _status_of(self, host: str) -> DaemonStatus | None:
        reply = self._peers.call(host, STATUS_TOPIC, b'', FLEET_TIMEOUT_S)
        if not isinstance(reply, Ok) or not reply.ok_value:
            return None
        return decode_json(reply.ok_value, DaemonStatus)
