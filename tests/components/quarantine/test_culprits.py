"""Which prompt parts explain the crashes of replicas."""

from collections.abc import Mapping, Sequence

from hypothesis import given
from hypothesis import strategies as st

from marigoldhoist.components.quarantine.const import (
    ANSWER_MEMORY_S,
    MIN_CRASHES,
    MIN_CRASHES_ANSWERED,
    MIN_CRASHES_BY_DEPTH,
    MIN_CRASHES_OF_OTHERS,
    SAME_MOMENT_S,
)
from marigoldhoist.components.quarantine.culprits import (
    Evidence,
    find_culprits,
)
from marigoldhoist.components.quarantine.models import Crash
from marigoldhoist.components.quarantine.part_ids import REQUEST_PREFIX

SHARED = 'shared'
CRASHING = 'crashing'
OTHER = 'other'
REQUEST = f'{REQUEST_PREFIX}0123456789abcdef'
COMPANION = f'{REQUEST_PREFIX}fedcba9876543210'
START_S = 1000.0
INTERVAL_S = 0.1


def crashes_with(
    parts_of_crashes: Sequence[Sequence[str]], interval_s: float = INTERVAL_S
) -> list[Crash]:
    """Return crashes at regular times, each with the parts of one prompt."""
    return [
        Crash(
            (f'r{number}', 1),
            START_S + number * interval_s,
            {part_id: depth for depth, part_id in enumerate(part_ids)},
        )
        for number, part_ids in enumerate(parts_of_crashes)
    ]


def culprits(
    crashes: Sequence[Crash],
    answered_s_by_part: Mapping[str, float] | None = None,
    on_probation: str | None = None,
) -> set[str]:
    """Return the parts that are found."""
    probation = frozenset((on_probation,)) if on_probation else frozenset()
    evidence = Evidence(crashes, answered_s_by_part or {}, probation)
    return set(find_culprits(evidence))


class TestCrashingPart:
    """A part that is in flight at every crash and is never answered."""

    def test_is_found_beside_an_answered_part(self) -> None:
        crashes = crashes_with([(SHARED, CRASHING)] * MIN_CRASHES)
        assert culprits(crashes, {SHARED: START_S - 1}) == {CRASHING}

    def test_is_found_after_no_fewer_crashes(self) -> None:
        crashes = crashes_with([(SHARED, CRASHING)] * (MIN_CRASHES - 1))
        assert not culprits(crashes, {SHARED: START_S - 1})

    def test_is_found_by_a_daemon_that_has_seen_no_answers(self) -> None:
        crashes = crashes_with([(SHARED, CRASHING)] * MIN_CRASHES_BY_DEPTH)
        assert culprits(crashes) == {CRASHING}

    def test_is_found_in_any_place_of_a_prompt(self) -> None:
        crashes = crashes_with(
            [(CRASHING, f'own{number}') for number in range(MIN_CRASHES)]
        )
        assert culprits(crashes) == {CRASHING}

    def test_two_are_found_at_once(self) -> None:
        crashes = crashes_with(
            [(SHARED, CRASHING), (SHARED, OTHER)] * MIN_CRASHES
        )
        assert culprits(crashes, {SHARED: START_S}) == {CRASHING, OTHER}

    def test_that_was_answered_before_is_found_in_the_end(self) -> None:
        crashes = crashes_with(
            [(SHARED, CRASHING)] * MIN_CRASHES_ANSWERED, interval_s=1
        )
        answered = {
            CRASHING: START_S - 1,
            SHARED: START_S + MIN_CRASHES_ANSWERED,
        }
        assert culprits(crashes, answered) == {CRASHING}

    def test_on_probation_is_found_after_one_crash(self) -> None:
        crashes = crashes_with([(SHARED, CRASHING, OTHER)])
        found = culprits(crashes, {SHARED: START_S - 1}, CRASHING)
        assert found == {CRASHING}


class TestCrashingRequest:
    """A whole request that is in flight at every crash."""

    def test_is_found_instead_of_its_parts(self) -> None:
        crashes = crashes_with([(SHARED, OTHER, REQUEST)] * MIN_CRASHES)
        assert culprits(crashes, {SHARED: START_S - 1}) == {REQUEST}

    def test_is_found_after_no_fewer_crashes(self) -> None:
        assert not culprits(crashes_with([(REQUEST,)] * (MIN_CRASHES - 1)))

    def test_is_found_beside_one_that_shares_its_crashes(self) -> None:
        crashes = crashes_with([(REQUEST, COMPANION)] * MIN_CRASHES)
        assert culprits(crashes) == {REQUEST, COMPANION}

    def test_is_found_without_one_at_fewer_crashes(self) -> None:
        crashes = crashes_with(
            [(REQUEST, COMPANION)] * MIN_CRASHES + [(REQUEST,)]
        )
        assert culprits(crashes) == {REQUEST}

    def test_is_found_after_another_one_was_held_for_its_first_crashes(
        self,
    ) -> None:
        crashes = crashes_with(
            [(OTHER, REQUEST, COMPANION)] * (MIN_CRASHES - 1)
            + [(OTHER, REQUEST)] * MIN_CRASHES
        )
        evidence = Evidence(crashes, {}, held_requests=frozenset((COMPANION,)))
        assert set(find_culprits(evidence)) == {REQUEST}

    def test_that_was_answered_is_not_found(self) -> None:
        crashes = crashes_with([(REQUEST,)] * MIN_CRASHES)
        assert not culprits(crashes, {REQUEST: crashes[0].at_s + 0.01})

    def test_of_a_crashing_part_gives_way_to_the_part(self) -> None:
        crashes = crashes_with(
            [(SHARED, CRASHING, REQUEST)] * MIN_CRASHES
            + [(SHARED, CRASHING, COMPANION)] * MIN_CRASHES_OF_OTHERS
        )
        assert CRASHING in culprits(crashes, {SHARED: START_S - 1})

    def test_that_is_held_hides_no_crashing_part(self) -> None:
        crashes = crashes_with(
            [(CRASHING, REQUEST)] * MIN_CRASHES
            + [(CRASHING, COMPANION)] * MIN_CRASHES_OF_OTHERS
        )
        evidence = Evidence(crashes, {}, held_requests=frozenset((REQUEST,)))
        assert set(find_culprits(evidence)) == {CRASHING}


class TestSoundPart:
    """A part whose requests had bad luck is not found."""

    def test_at_fewer_crashes_than_the_culprit(self) -> None:
        crashes = crashes_with(
            [(SHARED, CRASHING, OTHER)] * MIN_CRASHES + [(SHARED, CRASHING)]
        )
        assert culprits(crashes, {SHARED: START_S}) == {CRASHING}

    def test_when_replicas_end_at_one_moment(self) -> None:
        crashes = crashes_with(
            [(SHARED, OTHER)] * 2 * MIN_CRASHES, interval_s=SAME_MOMENT_S / 10
        )
        assert not culprits(crashes)

    def test_that_is_answered_between_the_crashes(self) -> None:
        crashes = crashes_with([(SHARED, OTHER)] * MIN_CRASHES)
        answered = {SHARED: START_S, OTHER: crashes[-2].at_s + 0.01}
        assert not culprits(crashes, answered)

    def test_that_is_answered_now_and_then(self) -> None:
        crashes = crashes_with([(SHARED,)] * (MIN_CRASHES_ANSWERED - 1))
        assert not culprits(crashes, {SHARED: START_S - ANSWER_MEMORY_S / 2})

    def test_in_the_only_request_of_the_culprit(self) -> None:
        crashes = crashes_with([(SHARED, CRASHING, OTHER)] * MIN_CRASHES)
        assert not culprits(crashes, {SHARED: START_S - 1})

    def test_that_cannot_be_told_from_another(self) -> None:
        crashes = [
            Crash((f'r{number}', 1), START_S + number, {SHARED: 0, OTHER: 0})
            for number in range(MIN_CRASHES)
        ]
        assert not culprits(crashes)

    @given(
        st.lists(
            st.sets(st.sampled_from('abcdef'), max_size=5),
            min_size=MIN_CRASHES,
            max_size=12,
        )
    )
    def test_is_never_found_beside_one_at_all_crashes(
        self, bystanders: list[set[str]]
    ) -> None:
        crashes = crashes_with(
            [
                (SHARED, CRASHING, *sorted(part_ids))
                for part_ids in (*bystanders, set())
            ]
        )
        assert culprits(crashes, {SHARED: START_S - 1}) == {CRASHING}
