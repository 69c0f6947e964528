"""Bodies that callers send and get, as they cross the wire."""

import msgspec


class ChatBody(msgspec.Struct, frozen=True):
    """The part of a chat request that the daemon reads."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool = False


class FailureDetail(msgspec.Struct, frozen=True):
    """Why there is no answer, and whether the request may have run."""

    code: str
    message: str
    verdict: str


class FailureBody(msgspec.Struct, frozen=True):
    """Body of every refusal and failure."""

    error: FailureDetail


class ModelEntry(msgspec.Struct, frozen=True):
    """One model a workspace may use."""

    id: str
    object: str = 'model'


class ModelList(msgspec.Struct, frozen=True):
    """All models a workspace may use."""

    data: tuple[ModelEntry, ...]
    object: str = 'list'
