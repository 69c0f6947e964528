"""Handlers of the topics that peers send on."""

from collections.abc import Callable

from marigoldhoist.components.peers.events import HANDLER_FAILED
from marigoldhoist.core.events import emit

# Takes the sender's host name and the payload; returns a reply or none.
Handler = Callable[[str, bytes], bytes | None]


class Topics:
    """Handlers by topic; a topic nobody handles is passed over."""

    def __init__(self) -> None:
        self._handler_by_topic: dict[str, Handler] = {}

    def subscribe(self, topic: str, handler: Handler) -> None:
        """Call handler for each message, on the loop; it must not block."""
        self._handler_by_topic[topic] = handler

    def handle(self, sender: str, topic: str, payload: bytes) -> bytes:
        """Return the handler's reply, empty where there is none."""
        handler = self._handler_by_topic.get(topic)
        if handler is None:
            return b''
        try:
            return handler(sender, payload) or b''
        except Exception as error:
            emit(HANDLER_FAILED, topic=topic, peer=sender, error=repr(error))
            return b''
