"""Decode what other processes wrote."""

from typing import Final, TypeVar

import msgspec

Decoded = TypeVar('Decoded')

# Digits of the largest integer that is taken from a text.
MAX_DIGITS: Final = 18


def decode_json(raw: bytes | str, decoded_type: type[Decoded]) -> Decoded:
    """Decode JSON, or raise msgspec.DecodeError.

    A value that is nested too deeply cannot be decoded either.
    """
    try:
        return msgspec.json.decode(raw, type=decoded_type)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def decode_msgpack(raw: bytes, decoded_type: type[Decoded]) -> Decoded:
    """Decode MessagePack, or raise msgspec.DecodeError.

    A value that is nested too deeply cannot be decoded either.
    """
    try:
        return msgspec.msgpack.decode(raw, type=decoded_type)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error


def parse_integer(text: str) -> int | None:
    """Return the non-negative integer in a text, None if it is not one."""
    is_decimal = text.isascii() and text.isdigit()
    return int(text) if is_decimal and len(text) <= MAX_DIGITS else None
