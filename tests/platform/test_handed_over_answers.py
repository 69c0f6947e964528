"""Answers to calls that are handed over to another daemon."""

import asyncio
import random
from typing import Final

import pytest

from marigoldhoist.components.gateway.errors import AttemptError
from marigoldhoist.components.gateway.models import Call, ForwardingContext
from marigoldhoist.components.gateway.peer_sender import PeerCall, PeerSender
from marigoldhoist.components.handover.models import Handover
from marigoldhoist.components.handover.service import PeerSelector
from marigoldhoist.components.mirrors.membership import Member, Membership
from marigoldhoist.components.mirrors.models import DaemonInfo
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.verdict import Verdict
from marigoldhoist.platform.dialect import PlatformDialect
from tests.platform.harness import HOST
from tests.platform.repeating_server import RepeatingServer
from tools.platform_standins.http import (
    ReceivedRequest,
    StandInServer,
    encode_response,
)

CALLS: Final = 4


def answer(request: ReceivedRequest) -> bytes:
    """Return the answer of a daemon: the path, from one of its replicas."""
    headers = {
        'X-Handover-Replica': 'p1',
        'Request-Id': request.headers['request-id'],
        'Keep-Alive': 'timeout=10',
    }
    return encode_response(200, headers, request.path.encode())


def answer_without_id(request: ReceivedRequest) -> bytes:
    """Return an answer that does not say which request it is for."""
    headers = {'X-Handover-Replica': 'p1', 'Keep-Alive': 'timeout=10'}
    return encode_response(200, headers, request.path.encode())


async def hand_over(sender: PeerSender, peer: StandInServer, path: str) -> str:
    """Hand one call over and return the body of the response."""
    now_s = SYSTEM_CLOCK.boottime_s()
    headers = [(b'Host', b'calls.example'), (b'Request-Id', path.encode())]
    call = Call(path, 'GET', path.encode(), 'calls.example', path, headers, 0)
    peer_call = PeerCall(
        Member('d2', '', 'there', now_s, handover_address=peer.address),
        call,
        'plain',
        ForwardingContext('d2', 5.0),
        Handover('d1', 0, ''),
    )
    async with sender.send(peer_call, is_repeatable=True) as response:
        return (await response.body()).decode()


def create_sender() -> PeerSender:
    """Return a sender of a daemon that knows no others."""
    membership = Membership(
        DaemonInfo('d1', '', 'here', 0), SYSTEM_CLOCK.boottime_s
    )
    selector = PeerSelector(membership, random.Random(1))
    return PeerSender(PlatformDialect(), selector)


class TestRepeatedAnswer:
    """A daemon answers a call a second time, late."""

    def test_next_call_gets_its_own_answer(self) -> None:
        # Guards against answers that are shifted by one from then on.
        async def scenario() -> list[str]:
            await peer.start(HOST)
            sender = create_sender()
            bodies = [await hand_over(sender, peer, path) for path in paths]
            peer.stop()
            return bodies

        peer = RepeatingServer(answer, copies=1)
        paths = [f'/safe/{number}' for number in range(CALLS)]
        assert asyncio.run(scenario()) == paths
        assert peer.connections < CALLS

    def test_answer_without_id_is_not_trusted(self) -> None:
        async def scenario() -> None:
            await peer.start(HOST)
            try:
                await hand_over(create_sender(), peer, '/safe/x')
            finally:
                peer.stop()

        peer = RepeatingServer(answer_without_id, copies=1)
        with pytest.raises(AttemptError, match='without id') as failure:
            asyncio.run(scenario())
        assert failure.value.verdict is Verdict.MAY_HAVE_RUN
