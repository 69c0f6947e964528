"""Decoding of stored records, including invalid ones."""

import json

import msgspec
import pytest

from marigoldhoist.components.canary.models import RollOutOrder
from marigoldhoist.components.configuration.models import RequestKind
from marigoldhoist.components.feeds.models import Position
from marigoldhoist.platform.records import (
    decode_configuration,
    decode_replica,
    decode_roll_out_order,
)
from tests.platform.harness import NESTED_DEEPLY, configuration

REGISTRATION = {
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
    """Decoding of the operator's configuration."""

    def test_units_kinds_and_keys(self) -> None:
        raw = json.dumps(configuration(7)).encode()
        decoded = decode_configuration(raw)
        route = decoded.route('calls.example', '/stream/x')
        assert route is not None
        assert route.kind is RequestKind.STREAM
        assert route.is_repeatable
        assert (decoded.version, route.timeout_s) == (7, 3)
        assert decoded.workspace_by_key['k1'].name == 'w1'

    def test_route_of_an_unknown_kind_is_ignored(self) -> None:
        modified = configuration(1)
        modified['routes'][0]['kind'] = 'other'
        decoded = decode_configuration(json.dumps(modified).encode())
        assert decoded.route('calls.example', '/safe/x') is None

    @pytest.mark.parametrize(
        'raw', (b'', b'{}', b'[1]', b'\xff', b'{"version"', NESTED_DEEPLY)
    )
    def test_invalid_configuration_raises(self, raw: bytes) -> None:
        with pytest.raises(msgspec.DecodeError):
            decode_configuration(raw)


class TestReplicas:
    """Decoding of replicas' registrations."""

    def test_fields(self) -> None:
        entry = decode_replica('i-1', json.dumps(REGISTRATION).encode())
        assert entry is not None
        assert (entry.address, entry.port) == ('10.0.0.1', 80)
        assert (entry.failure_domain, entry.started_ms) == ('z', 12)
        assert not entry.is_draining

    @pytest.mark.parametrize(
        'overrides',
        (
            {'state': 'asleep'},
            {'address': 'nowhere'},
            {'slots': 'many'},
            {'born': None},
            {'service': 7},
            {'address': '10.0.0.1:0'},
            {'address': '10.0.0.1:99999'},
            {'address': '10.0.0.1:²'},
            {'address': f'10.0.0.1:{"1" * 5000}'},
            {'address': '10.0.0.1\x00:80'},
            {'address': f'{"h" * 70_000}:80'},
            {'slots': -16},
            {'slots': 10**400},
            {'born': 10**400},
            {'cold_ms': 10**400},
        ),
    )
    def test_invalid_registration_is_rejected(
        self, overrides: dict[str, object]
    ) -> None:
        raw = json.dumps({**REGISTRATION, **overrides}).encode()
        assert decode_replica('i-1', raw) is None

    @pytest.mark.parametrize(
        'raw', (b'', b'\xff\xfe', b'null', b'{', NESTED_DEEPLY)
    )
    def test_malformed_registration_is_rejected(self, raw: bytes) -> None:
        assert decode_replica('i-1', raw) is None


class TestRollOuts:
    """Decoding of roll-out orders."""

    def test_order(self) -> None:
        raw = b'{"service":"s","target":"v2","over_s":12}'
        order = decode_roll_out_order(raw, Position(5, 3))
        assert order == RollOutOrder('s', 'v2', 12, 5, 3)
