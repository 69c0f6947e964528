"""Bodies in parts."""

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.core.body import PART_BYTES, Body


class TestBody:
    """The parts join to what was appended."""

    @given(st.lists(st.integers(0, 3 * PART_BYTES), max_size=6))
    def test_parts_are_the_content(self, sizes: list[int]) -> None:
        pieces = [bytes((number,)) * size for number, size in enumerate(sizes)]
        body = Body()
        for piece in pieces:
            body.append(piece)
        assert b''.join(body.parts) == b''.join(pieces)
        assert len(body) == sum(sizes)
        assert all(0 < len(part) <= PART_BYTES for part in body.parts)

    def test_cleared_body_is_empty(self) -> None:
        body = Body(bytes(2 * PART_BYTES + 1))
        body.clear()
        assert (len(body), list(body.parts)) == (0, [])
