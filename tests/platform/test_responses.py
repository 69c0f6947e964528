"""Responses to callers when replicas respond incorrectly, late or never."""

import asyncio

import pytest

from marigoldhoist.components.configuration.models import CallerLimits
from tests.platform.harness import (
    CallerResponse,
    GatewayHarness,
    encode_request,
    running_gateway,
)
from tools.platform_standins.replica import ReplicaFault

# Statuses that tell the caller that its request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


def inject_fault(
    harness: GatewayHarness, prefix: str, fault: ReplicaFault
) -> None:
    """Inject a fault once into every replica with a name prefix."""
    for name, replica in harness.replica_by_name.items():
        if name.startswith(prefix):
            replica.faults.append(fault)


async def call_with_fault(
    path: str, prefix: str, fault: ReplicaFault
) -> tuple[CallerResponse, int]:
    """Return the response and the run count with a fault at every replica."""
    async with running_gateway() as harness:
        inject_fault(harness, prefix, fault)
        response = await harness.call(path)
        return response, harness.run_count(prefix)


async def unsure_stream(path: str) -> tuple[CallerResponse, list[str]]:
    """Return a stream of unsure replicas and the models that ran for it."""
    async with running_gateway() as harness:
        for replica in harness.replica_by_name.values():
            replica.confidence = 5
        response = await harness.stream(path)
        models = [
            run.headers['model']
            for replica in harness.replica_by_name.values()
            for run in replica.executed_requests
        ]
        return response, sorted(models)


class TestAtMostOnce:
    """Calls that may run at most once."""

    @pytest.mark.parametrize(
        'fault',
        (
            ReplicaFault.LOST,
            ReplicaFault.TORN,
            ReplicaFault.UNSIGNED,
            ReplicaFault.LYING_BUSY,
        ),
    )
    def test_ambiguous_failure_is_not_retried(
        self, fault: ReplicaFault
    ) -> None:
        response, runs = asyncio.run(call_with_fault('/unsafe2/x', 'p', fault))
        assert runs == 1
        assert response.status == 502

    def test_call_shed_by_one_replica_runs_at_another(self) -> None:
        async def scenario() -> tuple[CallerResponse, int]:
            async with running_gateway() as harness:
                harness.replica_by_name['p1'].faults.append(ReplicaFault.SHED)
                harness.replica_by_name['p2'].faults.append(ReplicaFault.NONE)
                responses = [await harness.call('/unsafe2/x') for _ in range(4)]
                return responses[-1], min(
                    response.status for response in responses
                )

        last_response, lowest_status = asyncio.run(scenario())
        assert (last_response.status, lowest_status) == (200, 200)

    def test_shed_by_all_replicas_reports_not_run(self) -> None:
        response, runs = asyncio.run(
            call_with_fault('/unsafe2/x', 'p', ReplicaFault.SHED)
        )
        assert runs == 0
        assert response.status in NOT_RUN_STATUSES
        assert 0 < float(response.headers['retry-after']) < 2

    def test_max_attempts_is_not_exceeded(self) -> None:
        response, runs = asyncio.run(
            call_with_fault('/unsafe/x', 'p', ReplicaFault.SHED)
        )
        assert runs == 0
        assert response.status in NOT_RUN_STATUSES


class TestHeadTooLarge:
    """Heads over the configured limit."""

    @pytest.mark.parametrize('is_whole', (True, False))
    def test_status_names_the_head(self, is_whole: bool) -> None:
        async def scenario() -> CallerResponse:
            async with running_gateway() as harness:
                filler = 'x' * CallerLimits().max_head_bytes
                raw = encode_request('/safe/x', Filler=filler)
                return await harness.call_raw(raw if is_whole else raw[:-2])

        assert asyncio.run(scenario()).status == 431


class TestHead:
    """HEAD requests, whose responses have no body."""

    def test_response_has_content_length_but_no_body(self) -> None:
        async def scenario() -> list[CallerResponse]:
            async with running_gateway() as harness:
                raw = encode_request('/safe/x').replace(b'GET', b'HEAD', 1)
                return [await harness.call_raw(raw) for _ in range(3)]

        for response in asyncio.run(scenario()):
            assert (response.status, response.body) == (200, b'')
            assert response.headers['content-length'] == '10'


class TestIdempotent:
    """Calls that may be retried after an ambiguous failure."""

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
    def test_call_is_retried_at_another_replica(
        self, fault: ReplicaFault
    ) -> None:
        async def scenario() -> list[CallerResponse]:
            async with running_gateway() as harness:
                harness.replica_by_name['p1'].faults.append(fault)
                return [await harness.call('/safe/x') for _ in range(4)]

        assert {response.status for response in asyncio.run(scenario())} == {
            200
        }

    def test_failure_at_all_replicas_keeps_the_seal(self) -> None:
        response, runs = asyncio.run(
            call_with_fault('/safe/x', 'p', ReplicaFault.ERROR)
        )
        assert (response.status, runs) == (500, 2)
        assert response.headers['response-seal'].startswith('seal')


class TestLostResponses:
    """Replicas that run a request and occasionally lose the response."""

    def test_single_loss_does_not_make_replicas_suspected(self) -> None:
        async def scenario() -> set[bool]:
            async with running_gateway() as harness:
                inject_fault(harness, 'p', ReplicaFault.LOST)
                await harness.call('/safe/x')
                replicas = harness.gateway.context.directory.usable('plain')
                return {replica.suspected_until_s > 0 for replica in replicas}

        assert asyncio.run(scenario()) == {False}


class TestMismatchedResponses:
    """Responses that belong to another request."""

    def test_response_to_another_request_is_ignored(self) -> None:
        response, runs = asyncio.run(
            call_with_fault('/unsafe/x', 'p', ReplicaFault.FOREIGN_FIRST)
        )
        assert (response.status, runs) == (200, 1)
        assert response.body.startswith(b'done by')

    def test_extra_response_is_not_delivered(self) -> None:
        async def scenario() -> list[bytes]:
            async with running_gateway() as harness:
                inject_fault(harness, 'p', ReplicaFault.EXTRA)
                responses = [await harness.call('/safe/x') for _ in range(6)]
                return [response.body for response in responses]

        bodies = asyncio.run(scenario())
        assert all(body.startswith(b'done by') for body in bodies)


class TestStreams:
    """Resumption of event streams and model escalation."""

    def test_broken_stream_resumes_without_gap_or_repeat(self) -> None:
        async def scenario() -> tuple[CallerResponse, int]:
            async with running_gateway() as harness:
                for name in ('e1', 'e2'):
                    replica = harness.replica_by_name[name]
                    replica.faults.append(ReplicaFault.TORN)
                return await harness.stream(), harness.run_count('e')

        response, runs = asyncio.run(scenario())
        assert response.events == [1, 2, 3, 4]
        assert response.is_complete
        assert runs == 3

    def test_stream_that_cannot_resume_is_not_terminated(self) -> None:
        async def scenario() -> CallerResponse:
            async with running_gateway() as harness:
                for replica in harness.replica_by_name.values():
                    replica.faults.extend([ReplicaFault.TORN] * 3)
                return await harness.stream()

        response = asyncio.run(scenario())
        assert response.status == 200
        assert not response.is_complete

    def test_low_confidence_escalates_to_the_largest_model(self) -> None:
        response, asked = asyncio.run(unsure_stream('/stream/x'))
        assert asked == ['m0', 'm2']
        assert response.events == [1, 2, 3, 4]

    def test_unsure_stream_that_may_not_be_resumed_runs_once(self) -> None:
        # Guards against a second run of a call that may run once at most.
        response, asked = asyncio.run(unsure_stream('/unresumable/x'))
        assert asked == ['m0']
        assert response.events == [1, 2, 3, 4]

    def test_caller_resumes_after_its_last_event(self) -> None:
        async def scenario() -> CallerResponse:
            async with running_gateway() as harness:
                return await harness.stream(Last_Event_Id='2')

        assert asyncio.run(scenario()).events == [3, 4]

    def test_caller_disconnect_cancels_the_replica_request(self) -> None:
        async def scenario() -> list[str]:
            async with running_gateway() as harness:
                for replica in harness.replica_by_name.values():
                    replica.events = 500
                    replica.event_pause_s = 0.02
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await harness.stream()
                await asyncio.sleep(0.4)
                return [
                    request_id
                    for replica in harness.replica_by_name.values()
                    for request_id in replica.cancelled_ids
                ]

        assert len(asyncio.run(scenario())) == 1


class TestTimeouts:
    """Requests whose replica does not respond."""

    def test_gateway_timeout_at_the_route_timeout(self) -> None:
        async def scenario() -> CallerResponse:
            async with running_gateway() as harness:
                inject_fault(harness, 'p', ReplicaFault.SILENT)
                # The test times out long before the caller's deadline.
                return await harness.call('/unsafe/x', Request_Deadline='60000')

        assert asyncio.run(scenario()).status == 504
