"""What callers get when replicas answer wrongly, late or not at all."""

import asyncio

import pytest

from tests.platform.world import (
    Answered,
    GatewayWorld,
    gateway_world,
    request_text,
)
from tools.platform_standins.replica import ReplicaFault

NOT_RUN = frozenset((408, 421, 429, 503))


def faulty(world: GatewayWorld, prefix: str, fault: ReplicaFault) -> None:
    """Give every replica of that name the fault once."""
    for name, replica in world.replica_by_name.items():
        if name.startswith(prefix):
            replica.faults.append(fault)


async def one_call(
    path: str, prefix: str, fault: ReplicaFault
) -> tuple[Answered, int]:
    """Return the answer and the runs, with the fault at every replica."""
    async with gateway_world() as world:
        faulty(world, prefix, fault)
        answered = await world.call(path)
        return answered, world.runs(prefix)


class TestAtMostOnce:
    """Calls that may run once."""

    @pytest.mark.parametrize(
        'fault',
        (
            ReplicaFault.LOST,
            ReplicaFault.TORN,
            ReplicaFault.UNSIGNED,
            ReplicaFault.LYING_BUSY,
        ),
    )
    def test_runs_once_and_is_not_told_as_not_run(
        self, fault: ReplicaFault
    ) -> None:
        answered, runs = asyncio.run(one_call('/unsafe2/x', 'p', fault))
        assert runs == 1
        assert answered.status == 502

    def test_refused_by_one_replica_runs_at_another(self) -> None:
        async def scenario() -> tuple[Answered, int]:
            async with gateway_world() as world:
                world.replica_by_name['p1'].faults.append(ReplicaFault.SHED)
                world.replica_by_name['p2'].faults.append(ReplicaFault.NONE)
                answers = [await world.call('/unsafe2/x') for _ in range(4)]
                return answers[-1], min(one.status for one in answers)

        answered, least = asyncio.run(scenario())
        assert (answered.status, least) == (200, 200)

    def test_refused_everywhere_is_told_as_not_run(self) -> None:
        answered, runs = asyncio.run(
            one_call('/unsafe2/x', 'p', ReplicaFault.SHED)
        )
        assert runs == 0
        assert answered.status in NOT_RUN
        assert 0 < float(answered.headers['retry-after']) < 2

    def test_is_not_sent_to_more_replicas_than_allowed(self) -> None:
        answered, runs = asyncio.run(
            one_call('/unsafe/x', 'p', ReplicaFault.SHED)
        )
        assert runs == 0
        assert answered.status in NOT_RUN


class TestHead:
    """Calls whose answers have no body."""

    def test_is_answered_at_once_with_the_length_of_a_body(self) -> None:
        async def scenario() -> list[Answered]:
            async with gateway_world() as world:
                raw = request_text('/safe/x').replace(b'GET', b'HEAD', 1)
                return [await world.call_raw(raw) for _ in range(3)]

        for answered in asyncio.run(scenario()):
            assert (answered.status, answered.body) == (200, b'')
            assert answered.headers['content-length'] == '10'


class TestIdempotent:
    """Calls that may run again."""

    @pytest.mark.parametrize(
        'fault',
        (
            ReplicaFault.LOST,
            ReplicaFault.TORN,
            ReplicaFault.UNSIGNED,
            ReplicaFault.ERROR,
            ReplicaFault.LYING_BUSY,
            ReplicaFault.OTHER,
        ),
    )
    def test_is_asked_again_at_another_replica(
        self, fault: ReplicaFault
    ) -> None:
        async def scenario() -> list[Answered]:
            async with gateway_world() as world:
                world.replica_by_name['p1'].faults.append(fault)
                return [await world.call('/safe/x') for _ in range(4)]

        assert {one.status for one in asyncio.run(scenario())} == {200}

    def test_failure_everywhere_is_delivered_with_its_seal(self) -> None:
        answered, runs = asyncio.run(
            one_call('/safe/x', 'p', ReplicaFault.ERROR)
        )
        assert (answered.status, runs) == (500, 2)
        assert answered.headers['response-seal'].startswith('seal')


class TestLostAnswers:
    """Replicas that run a request and lose its answer now and then."""

    def test_replica_goes_on_getting_work(self) -> None:
        async def scenario() -> set[bool]:
            async with gateway_world() as world:
                faulty(world, 'p', ReplicaFault.LOST)
                await world.call('/safe/x')
                replicas = world.gateway.context.directory.usable('plain')
                return {replica.suspected_until_s > 0 for replica in replicas}

        assert asyncio.run(scenario()) == {False}


class TestCrossedAnswers:
    """Answers that belong to another request."""

    def test_foreign_answer_is_passed_over(self) -> None:
        answered, runs = asyncio.run(
            one_call('/unsafe/x', 'p', ReplicaFault.FOREIGN_FIRST)
        )
        assert (answered.status, runs) == (200, 1)
        assert answered.body.startswith(b'done by')

    def test_extra_answer_ends_the_connection(self) -> None:
        async def scenario() -> list[bytes]:
            async with gateway_world() as world:
                faulty(world, 'p', ReplicaFault.EXTRA)
                answers = [await world.call('/safe/x') for _ in range(6)]
                return [one.body for one in answers]

        bodies = asyncio.run(scenario())
        assert all(body.startswith(b'done by') for body in bodies)


class TestStreams:
    """Streams of events."""

    def test_broken_stream_goes_on_without_gap_or_repeat(self) -> None:
        async def scenario() -> tuple[Answered, int]:
            async with gateway_world() as world:
                for name in ('e1', 'e2'):
                    replica = world.replica_by_name[name]
                    replica.faults.append(ReplicaFault.TORN)
                return await world.stream(), world.runs('e')

        answered, runs = asyncio.run(scenario())
        assert answered.events == [1, 2, 3, 4]
        assert answered.is_whole
        assert runs == 3

    def test_stream_that_cannot_be_resumed_does_not_look_whole(self) -> None:
        async def scenario() -> Answered:
            async with gateway_world() as world:
                for replica in world.replica_by_name.values():
                    replica.faults.extend([ReplicaFault.TORN] * 3)
                return await world.stream()

        answered = asyncio.run(scenario())
        assert answered.status == 200
        assert not answered.is_whole

    def test_doubtful_answer_is_asked_of_the_largest_model(self) -> None:
        async def scenario() -> tuple[Answered, list[str]]:
            async with gateway_world() as world:
                for replica in world.replica_by_name.values():
                    replica.confidence = 5
                answered = await world.stream()
                asked = [
                    run.headers['model']
                    for replica in world.replica_by_name.values()
                    for run in replica.runs
                ]
                return answered, sorted(asked)

        answered, asked = asyncio.run(scenario())
        assert asked == ['m0', 'm2']
        assert answered.events == [1, 2, 3, 4]

    def test_caller_resumes_after_its_last_event(self) -> None:
        async def scenario() -> Answered:
            async with gateway_world() as world:
                return await world.stream(Last_Event_Id='2')

        assert asyncio.run(scenario()).events == [3, 4]

    def test_caller_that_leaves_ends_the_work(self) -> None:
        async def scenario() -> list[str]:
            async with gateway_world() as world:
                for replica in world.replica_by_name.values():
                    replica.events = 500
                    replica.event_pause_s = 0.02
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await world.stream()
                await asyncio.sleep(0.4)
                return [
                    left
                    for replica in world.replica_by_name.values()
                    for left in replica.cancelled
                ]

        assert len(asyncio.run(scenario())) == 1


class TestTimeOuts:
    """Requests whose replica does not answer."""

    def test_final_answer_comes_at_the_routes_timeout(self) -> None:
        async def scenario() -> Answered:
            async with gateway_world() as world:
                faulty(world, 'p', ReplicaFault.SILENT)
                # The world gives up long before the caller's deadline.
                return await world.call('/unsafe/x', Request_Deadline='60000')

        assert asyncio.run(scenario()).status == 504
