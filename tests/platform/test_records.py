"""Stored records are decoded, and what cannot be read names nothing."""

import json

import msgspec
import pytest

from marigoldhoist.components.canary.models import (
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.configuration.models import RequestKind
from marigoldhoist.platform.records import (
    read_configuration,
    read_order,
    read_replica,
    read_status,
    status_record,
)
from tests.platform.world import configuration

ENTRY = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'born': 12,
    'sequence': 3,
    'unknown': {},
}


class TestConfiguration:
    """The operator's configuration."""

    def test_units_kinds_and_keys(self) -> None:
        raw = json.dumps(configuration(7)).encode()
        known = read_configuration(raw)
        route = known.route('calls.example', '/stream/x')
        assert route is not None
        assert route.kind is RequestKind.STREAM
        assert route.is_repeatable
        assert (known.version, route.timeout_s) == (7, 3)
        assert known.workspace_by_key['k1'].name == 'w1'

    def test_route_of_an_unknown_kind_is_left_out(self) -> None:
        changed = configuration(1)
        changed['routes'][0]['kind'] = 'other'
        known = read_configuration(json.dumps(changed).encode())
        assert known.route('calls.example', '/safe/x') is None

    @pytest.mark.parametrize(
        'raw', (b'', b'{}', b'[1]', b'\xff', b'{"version"')
    )
    def test_no_configuration(self, raw: bytes) -> None:
        with pytest.raises((msgspec.DecodeError, UnicodeDecodeError)):
            read_configuration(raw)


class TestReplicas:
    """Replicas' entries."""

    def test_fields(self) -> None:
        entry = read_replica('i-1', json.dumps(ENTRY).encode())
        assert entry is not None
        assert (entry.address, entry.port) == ('10.0.0.1', 80)
        assert (entry.failure_domain, entry.started_ms) == ('z', 12)
        assert not entry.is_draining

    @pytest.mark.parametrize(
        'changed',
        (
            {'state': 'asleep'},
            {'address': 'nowhere'},
            {'slots': 'many'},
            {'born': None},
            {'service': 7},
        ),
    )
    def test_foreign_entry_names_no_replica(
        self, changed: dict[str, object]
    ) -> None:
        raw = json.dumps({**ENTRY, **changed}).encode()
        assert read_replica('i-1', raw) is None

    @pytest.mark.parametrize('raw', (b'', b'\xff\xfe', b'null', b'{'))
    def test_unreadable_entry_names_no_replica(self, raw: bytes) -> None:
        assert read_replica('i-1', raw) is None


class TestRollOuts:
    """Orders and states."""

    def test_order(self) -> None:
        raw = b'{"service":"s","target":"v2","over_s":12}'
        order = read_order(raw, 5)
        assert (order.target, order.allowed_s, order.offset) == ('v2', 12, 5)

    @pytest.mark.parametrize(
        'state',
        (
            RollOutState.RUNNING,
            RollOutState.COMPLETED,
            RollOutState.ROLLED_BACK,
        ),
    )
    def test_state_is_read_as_it_was_written(self, state: RollOutState) -> None:
        status = RollOutStatus('s', 'v2', state)
        assert read_status(*status_record(status)) == status

    def test_other_records_are_passed_over(self) -> None:
        assert read_status('rollout/s', b'{"state":"new","target":"v"}') is None
        assert read_status('other', b'{}') is None
