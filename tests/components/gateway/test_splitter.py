"""Splitting of streams into events, independent of chunk borders."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.gateway.splitter import EventSplitter

EVENTS = b''.join(b'id: %d\ndata: x\n\n' % number for number in range(1, 6))


class TestEventSplitter:
    """Complete events are yielded, partial ones buffered."""

    @given(st.lists(st.integers(0, len(EVENTS)), max_size=12))
    def test_chunk_borders_do_not_matter(self, split_points: list[int]) -> None:
        splitter = EventSplitter()
        borders = [0, *sorted(split_points), len(EVENTS)]
        events = [
            event
            for start, end in itertools.pairwise(borders)
            for event in splitter.feed(EVENTS[start:end])
        ]
        assert [event.number for event in events] == [1, 2, 3, 4, 5]
        assert b''.join(event.raw for event in events) == EVENTS
        assert not splitter.has_partial_event

    def test_partial_event_is_buffered(self) -> None:
        splitter = EventSplitter()
        assert len(list(splitter.feed(EVENTS[:-1]))) == 4
        assert splitter.has_partial_event
