"""Constants of the intake component."""

from typing import Final

# A larger input may use this share of the room; the rest is for small ones, so
# that they are taken while large ones wait for their last bytes.
LARGE_INPUT_SHARE: Final = 0.75
SMALL_INPUT_BYTES: Final = 64 * 1024
# The large inputs of one workspace may use this share of the room.
WORKSPACE_SHARE: Final = 0.5
# The room is this many times as large as the largest input, so that a single
# one fits into the share of its workspace.
MIN_LARGEST_INPUTS: Final = 2
# An input that is this far behind its least rate gives way to others.
STALL_GRACE_S: Final = 2.0
