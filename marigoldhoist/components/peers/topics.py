"""Handlers of peer topics."""

from collections.abc import Callable

from marigoldhoist.components.peers.events import HANDLER_FAILED
from marigoldhoist.core.events import emit

# Takes the sender's host name and the payload; returns a reply or None.
Handler = Callable[[str, bytes], bytes | None]


class TopicHandlers:
    """Registry of topic handlers; messages without handler are ignored."""

    def __init__(self) -> None:
        self._handler_by_topic: dict[str, Handler] = {}

    def subscribe(self, topic: str, handler: Handler) -> None:
        """Register a handler.

        It runs on the event loop for each message and must not block.
        """
        self._handler_by_topic[topic] = handler

    def handle(self, sender: str, topic: str, payload: bytes) -> bytes:
        """Return the handler's reply, or empty bytes.

        The reply is empty if there is no handler, or if the handler returns
        None or raises.
        """
        handler = self._handler_by_topic.get(topic)
        if handler is None:
            return b''
        try:
            return handler(sender, payload) or b''
        except Exception as error:
            emit(HANDLER_FAILED, topic=topic, peer=sender, error=repr(error))
            return b''
