"""Replicas that send something more after their answers."""

import asyncio

import pytest

from tests.platform.stuttering_replica import (
    CALLERS,
    CALLS_PER_CALLER,
    StutteringReplica,
    call_stuttering_replica,
    faults_of,
)
from tools.platform_standins.stutters import stutter_by_name

SEEDS = (1, 2, 3)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('name', sorted(stutter_by_name))
class TestStutter:
    """Each caller gets what its own request was answered first, or a failure.

    Guards against a success where the replica had answered with a failure.
    """

    def test_callers_get_first_answers_only(self, name: str, seed: int) -> None:
        replica = StutteringReplica(name, seed)
        exchanges = asyncio.run(call_stuttering_replica(replica))
        assert faults_of(exchanges, replica) == []
        assert len(exchanges) == CALLERS * CALLS_PER_CALLER

    def test_refusals_say_truly_what_ran(self, name: str, seed: int) -> None:
        replica = StutteringReplica(name, seed, refuses=True)
        exchanges = asyncio.run(call_stuttering_replica(replica))
        assert faults_of(exchanges, replica) == []
