"""Hosts, initial table rows and daemon settings of the demo."""

import dataclasses
import json
import pathlib
from typing import Any

from marigoldhoist.components.entry.credentials import key_digest
from marigoldhoist.components.hosts.models import HostEntry, HostRole
from tools.demo.const import (
    DAEMONS_PER_DOMAIN,
    DOMAINS,
    ENGINES_PER_DOMAIN,
    HOSTS_PORT,
    LOG_PORT,
    MAX_REQUESTS,
    MODEL,
    PEER_PORT,
    SERVICE,
    UPSTREAM_PORT,
    VERSIONS,
)
from tools.world.addresses import next_address
from tools.world.samples import OPERATOR_KEY

WORKSPACE_KEYS = {'bench': 'bench-key', 'valves': 'valves-key'}
PROBE_KEY = 'probe-key'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The platform's address and the entries of all hosts."""

    platform: str
    hosts: tuple[HostEntry, ...]

    def with_role(self, role: HostRole) -> tuple[HostEntry, ...]:
        """Return the hosts that have the role."""
        return tuple(host for host in self.hosts if host.role is role)

    @property
    def log_url(self) -> str:
        """Return the log's base URL."""
        return f'http://{self.platform}:{LOG_PORT}'

    @property
    def hosts_url(self) -> str:
        """Return the host list's base URL."""
        return f'http://{self.platform}:{HOSTS_PORT}'


def make_plan() -> Plan:
    """Return a plan with an address for each host."""
    hosts: list[HostEntry] = []
    versions = tuple(f'{MODEL}/{version}' for version in VERSIONS)
    for domain in DOMAINS:
        hosts.extend(
            _hosts(domain, HostRole.DAEMON, DAEMONS_PER_DOMAIN, PEER_PORT)
        )
        hosts.extend(
            _hosts(
                domain,
                HostRole.ENGINE,
                ENGINES_PER_DOMAIN,
                UPSTREAM_PORT,
                versions,
            )
        )
        hosts.extend(
            _hosts(domain, HostRole.SERVICE, 1, UPSTREAM_PORT, (SERVICE,))
        )
    return Plan(next_address(), tuple(hosts))


def initial_rows() -> dict[str, Any]:
    """Return the initial rows of the table by key."""
    costs = dict(zip(VERSIONS, (1, 4, 20), strict=True))
    rows: dict[str, Any] = {
        f'version/{MODEL}/{version}': {'cost_per_1k_tokens': cost}
        for version, cost in costs.items()
    }
    rows[f'model/{MODEL}'] = {
        'weights_by_version': dict(zip(VERSIONS, (50, 40, 10), strict=True))
    }
    rows[f'service/{SERVICE}'] = {'non_repeatable_paths': ['/deposits']}
    allowed = {'bench': ['*'], 'valves': ['small', 'medium']}
    for name, key in WORKSPACE_KEYS.items():
        rows[f'workspace/{name}'] = {
            'key_digests': [key_digest(key)],
            'versions_by_model': {MODEL: allowed[name]},
            'services': [SERVICE],
        }
    rows['workspace/probe'] = probe_row(0)
    return rows


def probe_row(number: int) -> dict[str, Any]:
    """Return the probe workspace's row.

    The workspace's model list has one model if `number` is odd, else none, so
    that a caller can tell which change is in force.
    """
    row: dict[str, Any] = {'key_digests': [key_digest(PROBE_KEY)]}
    if number % 2:
        row['versions_by_model'] = {MODEL: ['small']}
    return row


def write_settings(plan: Plan, folder: pathlib.Path) -> dict[str, pathlib.Path]:
    """Write each daemon's settings file; return the paths by host."""
    paths_by_host: dict[str, pathlib.Path] = {}
    for daemon in plan.with_role(HostRole.DAEMON):
        sections = {
            'daemon': {
                'host': daemon.host,
                'failure_domain': daemon.failure_domain,
                'address': daemon.address,
                'log_level': 'warning',
            },
            'platform_log': {'url': plan.log_url},
            'hosts': {'url': plan.hosts_url, 'poll_interval_s': 0.5},
            'entry': {
                'max_requests': MAX_REQUESTS,
                'balancer_grace_s': 1.0,
            },
            'operator': {'key_digests': [key_digest(OPERATOR_KEY)]},
        }
        path = folder / f'{daemon.host}.json'
        path.write_text(json.dumps(sections), encoding='utf-8')
        paths_by_host[daemon.host] = path
    return paths_by_host


def _hosts(
    domain: str,
    role: HostRole,
    count: int,
    port: int,
    serves: tuple[str, ...] = (),
) -> list[HostEntry]:
    return [
        HostEntry(
            host=f'{role.value}-{domain}-{number}',
            role=role,
            address=next_address(),
            port=port,
            failure_domain=domain,
            serves=serves,
        )
        for number in range(1, count + 1)
    ]
