"""Who gets room for input, and who gives way."""

from typing import Final

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.intake.const import (
    LARGE_INPUT_SHARE,
    SMALL_INPUT_BYTES,
    STALL_GRACE_S,
    WORKSPACE_SHARE,
)
from marigoldhoist.components.intake.pace import InputPace
from marigoldhoist.components.intake.room import HeldInput, InputRoom
from marigoldhoist.components.intake.settings import IntakeSettings

MIB: Final = 1024 * 1024
CAPACITY: Final = 16 * MIB
LARGEST: Final = 4 * MIB
RATE: Final = 16 * 1024
STALLED_S: Final = STALL_GRACE_S + 1


class Input:
    """One caller's input, which notes its eviction."""

    def __init__(
        self, workspace: str = 'w', *, is_awaited: bool = True
    ) -> None:
        self.held = HeldInput(self._note_eviction)
        self.held.workspace = workspace
        self.held.pace = InputPace(RATE, 0) if is_awaited else None
        self.is_evicted = False

    def _note_eviction(self) -> None:
        self.is_evicted = True


def new_room() -> InputRoom:
    """Return a room for four of the largest inputs."""
    room = InputRoom(IntakeSettings(max_bytes=CAPACITY))
    room.fit(LARGEST)
    return room


def fill(
    room: InputRoom, *workspaces: str, is_awaited: bool = True
) -> list[Input]:
    """Reserve the largest input for each workspace that still finds room."""
    inputs = [Input(name, is_awaited=is_awaited) for name in workspaces]
    return [held for held in inputs if room.try_reserve(held.held, LARGEST, 0)]


class TestManyLargeInputs:
    """A load of large bodies is bounded together, and shared."""

    def test_large_inputs_leave_room_for_small_ones(self) -> None:
        room = new_room()
        fill(room, 'a', 'b', 'c', 'd', 'e')
        assert room.held_bytes <= CAPACITY * LARGE_INPUT_SHARE
        small = Input('f')
        assert room.try_reserve(small.held, SMALL_INPUT_BYTES, 0)

    def test_one_workspace_does_not_hold_all(self) -> None:
        room = new_room()
        assert (
            len(fill(room, 'a', 'a', 'a', 'a')) * LARGEST
            <= CAPACITY * WORKSPACE_SHARE
        )
        assert len(fill(room, 'b')) == 1

    def test_released_room_is_given_again(self) -> None:
        room = new_room()
        inputs = fill(room, 'a', 'b', 'c')
        assert not fill(room, 'd')
        room.release(inputs[0].held)
        assert len(fill(room, 'd')) == 1

    def test_single_input_fits_even_if_the_setting_is_smaller(self) -> None:
        room = InputRoom(IntakeSettings(max_bytes=MIB))
        room.fit(LARGEST)
        assert len(fill(room, 'a')) == 1


class TestStalledInputs:
    """Input that stalls gives way, other input does not."""

    def test_stalled_input_gives_way(self) -> None:
        room = new_room()
        stalled = fill(room, 'a', 'b', 'c')
        late = Input('d')
        assert room.try_reserve(late.held, LARGEST, STALLED_S)
        assert sum(held.is_evicted for held in stalled) == 1

    def test_input_at_its_rate_does_not(self) -> None:
        room = new_room()
        steady = fill(room, 'a', 'b', 'c')
        for held in steady:
            assert held.held.pace is not None
            held.held.pace.note(LARGEST, STALLED_S)
        assert not room.try_reserve(Input('d').held, LARGEST, STALLED_S)
        assert not any(held.is_evicted for held in steady)

    def test_input_that_is_complete_does_not(self) -> None:
        room = new_room()
        whole = fill(room, 'a', 'b', 'c', is_awaited=False)
        assert not room.try_reserve(Input('d').held, LARGEST, STALLED_S)
        assert not any(held.is_evicted for held in whole)

    def test_nobody_loses_room_in_vain(self) -> None:
        room = new_room()
        fill(room, 'a', 'a', is_awaited=False)
        stalled = Input('b')
        assert room.try_reserve(stalled.held, LARGEST, 0)
        late = Input('a')
        assert not room.try_reserve(late.held, LARGEST, STALLED_S)
        assert room.try_reserve(late.held, SMALL_INPUT_BYTES, STALLED_S)
        assert not stalled.is_evicted

    def test_own_stalled_input_goes_first(self) -> None:
        room = new_room()
        other, own, _ = fill(room, 'b', 'a', 'c')
        late = Input('a')
        assert room.try_reserve(late.held, LARGEST, STALLED_S)
        assert own.is_evicted
        assert not other.is_evicted

    def test_longest_stalled_input_is_evicted_on_demand(self) -> None:
        room = new_room()
        first, second = fill(room, 'a', 'b')
        assert second.held.pace is not None
        second.held.pace.note(RATE, 1)
        assert not room.try_evict(STALL_GRACE_S)
        assert room.try_evict(STALLED_S + 1)
        assert (first.is_evicted, second.is_evicted) == (True, False)

    def test_callers_are_told_when_stalled_input_gives_way(self) -> None:
        room = new_room()
        fill(room, 'a', 'b', 'c')
        assert room.retry_after_s(0.5) == STALL_GRACE_S - 0.5
        assert room.retry_after_s(STALLED_S) == 0


STEPS = st.lists(
    st.tuples(
        st.integers(0, 7),
        st.integers(0, LARGEST),
        st.floats(0, 3),
        st.booleans(),
    ),
    max_size=60,
)


class TestAnyLoad:
    """Whatever comes, the sum is right and within the room."""

    @given(STEPS)
    def test_room_is_never_exceeded(
        self, steps: list[tuple[int, int, float, bool]]
    ) -> None:
        room = new_room()
        inputs = [Input(f'w{number % 3}') for number in range(8)]
        now_s: float = 0
        for number, size_bytes, pause_s, is_release in steps:
            now_s += pause_s
            held = inputs[number].held
            if is_release:
                room.release(held)
            else:
                room.try_reserve(held, size_bytes, now_s)
            assert room.held_bytes <= CAPACITY
            sizes = [each.held.size_bytes for each in inputs]
            assert room.held_bytes == sum(sizes)
        for each in inputs:
            room.release(each.held)
        assert room.held_bytes == 0
