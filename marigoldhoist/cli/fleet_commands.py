"""Functions that read the status of the whole fleet."""

import time
from typing import Any

from marigoldhoist.cli.client import OperatorClient
from marigoldhoist.cli.const import IN_FORCE_POLL_S, IN_FORCE_TIMEOUT_S
from marigoldhoist.cli.tables import print_columns


def print_fleet(fleet: dict[str, Any]) -> None:
    """Print one line for each daemon."""
    names = ('host', 'domain', 'version', 'ready', 'revision', 'peers', 'bills')
    print_columns(names, map(_fleet_row, fleet['daemons']))
    for host in fleet['unreachable']:
        print(f'{host}: unreachable')


def wait_in_force(client: OperatorClient, offset: int) -> list[str]:
    """Wait until all daemons apply a change, for at most IN_FORCE_TIMEOUT_S.

    Return the hosts that have not applied it, including unreachable ones.
    """
    deadline_s = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        fleet = client.get('/fleet')
        behind = _hosts_behind(fleet, offset)
        if not behind or time.monotonic() > deadline_s:
            return behind
        time.sleep(IN_FORCE_POLL_S)


def _hosts_behind(fleet: dict[str, Any], offset: int) -> list[str]:
    outdated = [
        daemon['host']
        for daemon in fleet['daemons']
        if daemon['table_revision'] < offset
    ]
    return outdated + list(fleet['unreachable'])


def _fleet_row(daemon: dict[str, Any]) -> list[Any]:
    services = daemon['services_by_name']
    return [
        daemon['host'],
        daemon['failure_domain'],
        daemon['version'],
        'yes' if daemon['is_ready'] else 'no',
        daemon['table_revision'],
        len(services.get('peers', {}).get('linked', ())),
        services.get('billing', {}).get('unshipped', 0),
    ]
