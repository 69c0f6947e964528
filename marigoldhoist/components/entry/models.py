"""Request and response bodies of the callers' HTTP API."""

import msgspec


class ChatBody(msgspec.Struct, frozen=True):
    """Fields of a chat request that the daemon reads; others pass through."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool = False


class FailureDetail(msgspec.Struct, frozen=True):
    """Error code and message, and whether the request may have run."""

    code: str
    message: str
    verdict: str


class FailureBody(msgspec.Struct, frozen=True):
    """Body of every error reply."""

    error: FailureDetail


class ModelEntry(msgspec.Struct, frozen=True):
    """Entry of the model list."""

    id: str
    object: str = 'model'


class ModelList(msgspec.Struct, frozen=True):
    """List of the models that a workspace may use."""

    data: tuple[ModelEntry, ...]
    object: str = 'list'
