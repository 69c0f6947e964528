"""Who does not hold the shared key is not heard."""

import asyncio

import pytest

from marigoldhoist.components.peers.errors import LinkError
from marigoldhoist.components.peers.link import (
    FROM_DIALER,
    FROM_LISTENER,
    Link,
)
from marigoldhoist.components.peers.seal import Seal
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.peers.wire.link_pb2 import Frame
from marigoldhoist.core.identity import DaemonSettings
from tools.world.samples import PEER_KEY
from tools.world.world import PEER_PORT, World

KEY = PEER_KEY.encode()
STRANGER = DaemonSettings('entry-9', 'zg-trnje', '127.0.0.1')


def session(nonce: bytes = b'listener') -> Seal:
    """Return one end of an established link."""
    seal = Seal(KEY)
    seal.derive(b'dialer', nonce)
    return seal


def signed(seal: Seal, direction: bytes = FROM_DIALER) -> Frame:
    """Return a bill's copy, signed."""
    return seal.sign(Frame(topic='billing.copy', payload=b'bill'), direction)


class TestSeal:
    """Frames count on their own link, once, in order and one way."""

    def test_own_link(self) -> None:
        sender, receiver = session(), session()
        for _ in range(3):
            receiver.check(signed(sender), FROM_DIALER)

    def test_wrong_key(self) -> None:
        forged = signed(Seal(b'another key of 16 bytes'))
        with pytest.raises(LinkError):
            Seal(KEY).check(forged, FROM_DIALER)

    def test_replayed_on_the_same_link(self) -> None:
        receiver = session()
        frame = receiver.check(signed(session()), FROM_DIALER)
        with pytest.raises(LinkError):
            receiver.check(frame, FROM_DIALER)

    def test_replayed_on_another_link(self) -> None:
        frame = signed(session())
        with pytest.raises(LinkError):
            session(nonce=b'fresh').check(frame, FROM_DIALER)

    def test_reflected(self) -> None:
        frame = signed(session())
        with pytest.raises(LinkError):
            session().check(frame, FROM_LISTENER)

    @pytest.mark.parametrize(
        ('part', 'altered'),
        [('topic', 'table.feed'), ('payload', b'more'), ('call_id', 7)],
    )
    def test_altered(self, part: str, altered: str | bytes | int) -> None:
        frame = signed(session())
        setattr(frame, part, altered)
        with pytest.raises(LinkError):
            session().check(frame, FROM_DIALER)


class TestListener:
    """A daemon's peer port hears holders of the key only."""

    def test_dialer_without_the_key(self) -> None:
        heard: list[str] = []
        with World() as world:
            kernel = world.add_daemon('entry-1', 'zg-trnje')
            peers = kernel.find('peers', PeerService)
            peers.subscribe('test', lambda *got: heard.append(got[0]))
            address = world.address_of('entry-1')
            with pytest.raises((LinkError, TimeoutError)):
                asyncio.run(say(address, b'a guess of 16 bytes'))
            asyncio.run(say(address, KEY))
        assert heard == ['entry-9']


async def say(address: str, key: bytes) -> None:
    """Dial, send one message and wait for its reply."""
    link = Link(STRANGER, key)
    opened = link.open(address, PEER_PORT)
    await anext(opened)
    running = asyncio.create_task(anext(opened, ''))
    await link.call('test', b'')
    running.cancel()
