"""Memory that the input of a connection holds."""

import asyncio

from marigoldhoist.components.configuration.models import CallerLimits
from marigoldhoist.components.gateway.connection_input import ConnectionInput
from marigoldhoist.components.gateway.messages import (
    MessageHead,
    request_bytes,
)
from marigoldhoist.components.gateway.parsers import RequestParser
from marigoldhoist.components.intake.room import InputRoom
from marigoldhoist.components.intake.settings import IntakeSettings

BODY = b'x' * 100_000
HEADERS = ((b'Host', b'h'), (b'X-Filler', b'filler'))


class Connection:
    """Parses requests as a connection does."""

    def __init__(self) -> None:
        self.room = InputRoom(IntakeSettings())
        self.requests = RequestParser()
        self.input = ConnectionInput(
            self.room, self.requests, self.requests.items.clear
        )

    def take_head(self) -> None:
        """Start to read the next request."""
        head = self.requests.items.popleft()
        assert isinstance(head, MessageHead)
        self.input.begin(head.memory_bytes)

    def take_body(self) -> None:
        """Take the body of the request and its end."""
        body = self.requests.items.popleft()
        assert isinstance(body, bytes)
        self.input.body.append(body)
        self.requests.items.popleft()
        self.input.end_body()


class TestConnectionInput:
    """Room is held from the first byte to the end of the request."""

    def test_request_that_ended_holds_nothing(self) -> None:
        async def scenario() -> Connection:
            connection = Connection()
            raw = request_bytes('POST', b'/a', HEADERS, BODY)
            connection.requests.feed(raw)
            assert connection.input.try_account()
            assert connection.room.held_bytes >= len(BODY)
            connection.take_head()
            connection.take_body()
            connection.input.end()
            return connection

        connection = asyncio.run(scenario())
        assert connection.room.held_bytes == 0
        assert connection.requests.kept_bytes == 0
        assert not len(connection.input.body)

    def test_body_of_a_served_request_outlives_what_follows_it(self) -> None:
        # A flood of further requests must not change the one that is sent.
        async def scenario() -> Connection:
            connection = Connection()
            raw = request_bytes('POST', b'/a', HEADERS, BODY)
            connection.requests.feed(raw + raw[:200])
            connection.take_head()
            connection.take_body()
            connection.input.drop()
            return connection

        connection = asyncio.run(scenario())
        assert b''.join(connection.input.body.parts) == BODY
        assert not connection.requests.items

    def test_announced_body_holds_its_room_at_once(self) -> None:
        async def scenario() -> int:
            connection = Connection()
            raw = request_bytes('POST', b'/a', HEADERS, BODY)
            connection.requests.feed(raw[:200])
            connection.take_head()
            limits = CallerLimits()
            assert connection.input.try_announce('w', len(BODY), limits)
            return connection.room.held_bytes

        assert asyncio.run(scenario()) >= len(BODY)
