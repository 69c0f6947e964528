"""Decoding of roll-out states and rejections, including invalid ones."""

import pytest

from marigoldhoist.components.canary.models import (
    OrderMark,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.canary.rejections import Rejection, Standing
from marigoldhoist.platform.status_records import (
    StatusRecordCodec,
    decode_rejection,
    decode_roll_out_status,
)

CODEC = StatusRecordCodec()


class TestStatuses:
    """Decoding of roll-out statuses and rejections."""

    @pytest.mark.parametrize(
        'state',
        (
            RollOutState.RUNNING,
            RollOutState.COMPLETED,
            RollOutState.ROLLED_BACK,
        ),
    )
    def test_status_round_trip(self, state: RollOutState) -> None:
        status = RollOutStatus('s', 'v2', state)
        assert decode_roll_out_status(*CODEC.encode_status(status)) == status

    @pytest.mark.parametrize('standing', tuple(Standing))
    def test_rejection_round_trip(self, standing: Standing) -> None:
        rejection = Rejection('s', 'v2', OrderMark(1, 7), standing)
        key, raw = CODEC.encode_rejection(rejection)
        assert decode_rejection(key, raw) == rejection
        assert decode_roll_out_status(key, raw) is None

    def test_other_records_are_no_rejections(self) -> None:
        status = RollOutStatus('s', 'v2', RollOutState.ROLLED_BACK)
        assert decode_rejection(*CODEC.encode_status(status)) is None
        assert decode_rejection('rejected/s/v2', b'{"service":"s"}') is None
        assert decode_rejection('rejected/s/v2', b'') is None

    def test_other_records_are_ignored(self) -> None:
        assert (
            decode_roll_out_status('rollout/s', b'{"state":"new","target":"v"}')
            is None
        )
        assert decode_roll_out_status('other', b'{}') is None
