"""Who runs where, and the table they start with."""

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
    """Addresses of the platform and all hosts."""

    platform: str
    hosts: tuple[HostEntry, ...]

    def with_role(self, role: HostRole) -> tuple[HostEntry, ...]:
        """Return the hosts of a role."""
        return tuple(host for host in self.hosts if host.role is role)

    @property
    def log_url(self) -> str:
        """Return the log's base address."""
        return f'http://{self.platform}:{LOG_PORT}'

    @property
    def hosts_url(self) -> str:
        """Return the host list's base address."""
        return f'http://{self.platform}:{HOSTS_PORT}'


def make_plan() -> Plan:
    """Give every host an address."""
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


def starting_rows() -> dict[str, Any]:
    """Return the rows that the table starts with."""
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
    """Return the probe's row; callers see its number in the list of models."""
    row: dict[str, Any] = {'key_digests': [key_digest(PROBE_KEY)]}
    if number % 2:
        row['versions_by_model'] = {MODEL: ['small']}
    return row


def write_settings(plan: Plan, folder: pathlib.Path) -> dict[str, pathlib.Path]:
    """Write each daemon's settings file; return the files by host."""
    files_by_host: dict[str, pathlib.Path] = {}
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
        files_by_host[daemon.host] = path
    return files_by_host


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
