"""Every request ends, and the end is reported to caller and stages."""

from collections.abc import Iterator

import pytest
from result import Err

from marigoldhoist.components.dispatch.const import COMPONENT as DISPATCH
from marigoldhoist.components.dispatch.errors import AttemptError
from marigoldhoist.components.dispatch.hedging import AttemptResult, race
from marigoldhoist.components.dispatch.service import DispatchService
from marigoldhoist.components.dispatch.stages import Outcome, Stage
from marigoldhoist.core.errors import ErrorCode, RequestFailure
from marigoldhoist.core.exchange import CallerRequest
from marigoldhoist.core.verdict import Verdict
from tools.standins.engine import EngineFaults
from tools.world.caller import Caller
from tools.world.samples import WORKSPACE_KEY
from tools.world.world import World, wait_until

HOST = 'entry-1'
DOMAIN = 'zg-trnje'


class BrokenStage(Stage):
    """Raises before each attempt and records outcomes."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []

    def recheck(self, _request: CallerRequest) -> RequestFailure | None:
        """Raise like a programming error."""
        raise ZeroDivisionError('injected error')

    def settle(self, _request: CallerRequest, outcome: Outcome) -> None:
        """Record the outcome."""
        self.outcomes.append(outcome)


@pytest.fixture
def world() -> Iterator[World]:
    """Start a daemon and an engine and wait for the first answer."""
    with World() as started:
        started.add_engine(
            'engine-1', DOMAIN, 'pult-model/small', 'pult-model/large'
        )
        started.add_daemon(HOST, DOMAIN)
        caller = Caller(started.address_of(HOST), WORKSPACE_KEY)
        wait_until(lambda: caller.chat().status == 200, 'an answer')
        yield started


class TestTermination:
    """No request waits forever after a failure."""

    def test_engine_that_closes_its_connections(self, world: World) -> None:
        engine = world.engines_by_host['engine-1']
        engine.faults = EngineFaults(closes_connections=True)
        caller = Caller(world.address_of(HOST), WORKSPACE_KEY)
        # Enough answers for the hedge delay to be estimated.
        replies = [caller.chat(max_tokens=3) for _ in range(40)]
        assert all(reply.is_complete_stream for reply in replies)

    def test_internal_error_is_reported_and_settled(self, world: World) -> None:
        stage = BrokenStage()
        kernel = world.kernels_by_host[HOST]
        kernel.find(DISPATCH, DispatchService).add_stage(1, stage)
        caller = Caller(world.address_of(HOST), WORKSPACE_KEY)
        reply = caller.chat()
        assert (reply.status, reply.verdict) == (500, 'may_have_run')
        assert [outcome.verdict for outcome in stage.outcomes] == [
            Verdict.MAY_HAVE_RUN
        ]


class TestRace:
    """A failed or crashed attempt ends the race."""

    def test_error_in_only_attempt(self) -> None:
        with pytest.raises(AttemptError):
            race(self.fail, 10, lambda: None)

    def fail(self) -> AttemptResult:
        """Raise like a programming error."""
        raise ZeroDivisionError('injected error')

    def test_failure_is_returned(self) -> None:
        failure = RequestFailure(ErrorCode.UPSTREAM_FAILED, 'refused')
        assert race(lambda: Err(failure), 10, lambda: None) == Err(failure)
