"""Sample table rows, keys and settings."""

import json
from typing import Any

import msgspec

from marigoldhoist.components.entry.credentials import key_digest
from marigoldhoist.components.table.models import RowEdit, TableChange

WORKSPACE_KEY = 'bench-key'
OTHER_KEY = 'other-key'
OPERATOR_KEY = 'operator-key'
PEER_KEY = 'a shared key for samples only'

SAMPLE_ROWS: dict[str, Any] = {
    'version/pult-model/small': {'cost_per_1k_tokens': 1},
    'version/pult-model/large': {'cost_per_1k_tokens': 20},
    'model/pult-model': {'weights_by_version': {'small': 80, 'large': 20}},
    'service/pult-narudzbe': {'non_repeatable_paths': ['/deposits']},
    'workspace/bench': {
        'key_digests': [key_digest(WORKSPACE_KEY)],
        'versions_by_model': {'pult-model': ['*']},
        'services': ['pult-narudzbe'],
    },
    'workspace/other': {
        'key_digests': [key_digest(OTHER_KEY)],
        'versions_by_model': {},
    },
}


def make_table_change(
    rows: dict[str, Any], author: str = 'ana', base_revision: int = -1
) -> TableChange:
    """Return a table change that writes the rows, all based on one revision."""
    edits = tuple(
        RowEdit(key, msgspec.Raw(msgspec.json.encode(row)), base_revision)
        for key, row in rows.items()
    )
    return TableChange(author, edits)


def settings_text(
    host: str,
    domain: str,
    address: str,
    log_address: str,
    platform_address: str,
    entry: dict[str, object] | None = None,
) -> str:
    """Return a daemon's settings as JSON; `entry` adds to the entry section."""
    sections = {
        'daemon': {
            'host': host,
            'failure_domain': domain,
            'address': address,
            'log_level': 'warning',
        },
        'platform_log': {
            'url': f'http://{log_address}:7000',
            'long_poll_s': 0.5,
        },
        'hosts': {
            'url': f'http://{platform_address}:7001',
            'poll_interval_s': 0.2,
        },
        'entry': {'balancer_grace_s': 0.2} | (entry or {}),
        'upstreams': {'no_progress_s': 1.0},
        'operator': {'key_digests': [key_digest(OPERATOR_KEY)]},
        'billing': {'owner_dead_s': 1.0, 'hand_over_timeout_s': 5.0},
        'peers': {'key_variable': 'MARIGOLDHOIST_PEER_KEY'},
    }
    return json.dumps(sections)
