"""Decode and encode the records of the topic of roll-out states.

The product keeps the rejections of versions among them. A release that does not
know a record ignores it.
"""

from typing import Any

import msgspec

from marigoldhoist.components.canary.models import (
    OrderMark,
    RollOutState,
    RollOutStatus,
)
from marigoldhoist.components.canary.rejections import Rejection, Standing
from marigoldhoist.core.decoding import decode_json
from marigoldhoist.platform.const import (
    REJECTION_KEY_PREFIX,
    ROLL_OUT_KEY_PREFIX,
)

STATE_BY_NAME = {
    'running': RollOutState.RUNNING,
    'completed': RollOutState.COMPLETED,
    'rolled_back': RollOutState.ROLLED_BACK,
}
NAME_BY_STATE = {state: name for name, state in STATE_BY_NAME.items()}


class StatusRow(msgspec.Struct):
    """The stored state of a roll-out."""

    state: str
    target: str


class RejectionRow(msgspec.Struct):
    """The standing of a version that was rejected, by its newest order."""

    service: str
    version: str
    order_era: int
    order_offset: int
    standing: Standing


def decode_roll_out_status(key: str, raw: bytes) -> RollOutStatus | None:
    """Decode a roll-out's status; return None for any other record."""
    if not key.startswith(ROLL_OUT_KEY_PREFIX):
        return None
    try:
        row = decode_json(raw, StatusRow)
    except msgspec.DecodeError:
        return None
    state = STATE_BY_NAME.get(row.state)
    if state is None:
        return None
    service = key.removeprefix(ROLL_OUT_KEY_PREFIX)
    return RollOutStatus(service, row.target, state)


def decode_rejection(key: str, raw: bytes) -> Rejection | None:
    """Decode a rejection; return None for any other record."""
    if not key.startswith(REJECTION_KEY_PREFIX):
        return None
    try:
        row = decode_json(raw, RejectionRow)
    except msgspec.DecodeError:
        return None
    return Rejection(
        row.service,
        row.version,
        OrderMark(row.order_era, row.order_offset),
        row.standing,
    )


class StatusRecordCodec:
    """Encodes states of roll-outs and rejections as records of the store."""

    def encode_status(self, status: RollOutStatus) -> tuple[str, bytes]:
        """Return the key and the encoded value of a roll-out's status."""
        row: dict[str, Any] = {
            'state': NAME_BY_STATE[status.state],
            'target': status.target,
        }
        return ROLL_OUT_KEY_PREFIX + status.service, msgspec.json.encode(row)

    def encode_rejection(self, rejection: Rejection) -> tuple[str, bytes]:
        """Return the key and the encoded value of a rejection."""
        row = RejectionRow(
            rejection.service,
            rejection.version,
            rejection.order_mark.era,
            rejection.order_mark.offset,
            rejection.standing,
        )
        name = f'{rejection.service}/{rejection.version}'
        return REJECTION_KEY_PREFIX + name, msgspec.json.encode(row)
