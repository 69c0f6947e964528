"""Models of calls that one daemon hands over to another."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """What a daemon tells another one about a call that it hands over.

    `from_host` is the daemon that the caller called, `send_count` the number
    of attempts at replicas before, and `model` the model to ask, empty for a
    plain call.
    """

    from_host: str
    send_count: int = 0
    model: str = ''
