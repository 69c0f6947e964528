"""Streams are split into whole events however the bytes arrive."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.gateway.splitter import EventSplitter

EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))


class TestSplitter:
    """Events from chunks."""

    @given(st.lists(st.integers(0, len(EVENTS)), max_size=12))
    def test_chunks_do_not_matter(self, cuts: list[int]) -> None:
        splitter = EventSplitter()
        edges = [0, *sorted(cuts), len(EVENTS)]
        found = [
            event
            for start, end in itertools.pairwise(edges)
            for event in splitter.feed(EVENTS[start:end])
        ]
        assert [event.number for event in found] == [1, 2, 3, 4, 5]
        assert b''.join(event.raw for event in found) == EVENTS
        assert not splitter.has_partial_event

    def test_partial_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        assert len(list(splitter.feed(EVENTS[:-1]))) == 4
        assert splitter.has_partial_event
