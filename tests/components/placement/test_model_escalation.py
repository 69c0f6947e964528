"""The choice of a larger model, and what callers get of it under load."""

import random

import pytest

from marigoldhoist.components.placement.model_escalation import (
    BUSY,
    EscalationContext,
    choose_larger_model,
    first_model,
)
from marigoldhoist.components.placement.prefill_times import PrefillTimes

MODELS = ('small', 'middle', 'large')
SECONDS = {'small': 0.1, 'middle': 0.4, 'large': 1.5}


def expected(model: str) -> float | None:
    """Return the seconds of a model."""
    return SECONDS.get(model)


def doubt(
    confidence: int | None = 10,
    remaining_s: float = 2,
    load: float = 0.1,
    attempts_left: int = 2,
) -> EscalationContext:
    """Return a doubtful answer on an urgent route."""
    return EscalationContext(
        confidence, 0, remaining_s, load, attempts_left, expected
    )


class TestLargerModel:
    """When a doubtful answer is dropped."""

    def test_starts_with_the_smallest(self) -> None:
        assert first_model(MODELS) == 'small'
        assert not first_model(())

    def test_doubtful_answer_goes_to_the_largest(self) -> None:
        assert choose_larger_model(MODELS, 'small', doubt()) == 'large'

    def test_largest_in_time_is_asked(self) -> None:
        found = choose_larger_model(MODELS, 'small', doubt(remaining_s=1))
        assert found == 'middle'

    @pytest.mark.parametrize(
        ('kept', 'asked'),
        (
            (doubt(confidence=95), 'small'),
            (doubt(confidence=None), 'small'),
            (doubt(remaining_s=0.2), 'small'),
            (doubt(load=BUSY + 0.1), 'small'),
            (doubt(attempts_left=0), 'small'),
            (doubt(), 'large'),
            (doubt(), 'named by the caller'),
        ),
    )
    def test_answer_is_kept(self, kept: EscalationContext, asked: str) -> None:
        assert not choose_larger_model(MODELS, asked, kept)


class TestPrefillTimes:
    """Times to the first event, learnt from answers."""

    def test_unknown_before_a_few_answers(self) -> None:
        times = PrefillTimes()
        times.observe('large', 5000, 0.5)
        assert times.expected_s('large', 5000) is None

    def test_grows_faster_than_the_prompt(self) -> None:
        times = PrefillTimes()
        for _ in range(5):
            times.observe('large', 10_000, 0.5)
        short = times.expected_s('large', 10_000)
        long = times.expected_s('large', 50_000)
        assert short == pytest.approx(0.5)
        assert long is not None
        assert long > 5 * 0.5

    def test_waits_of_other_requests_are_left_out(self) -> None:
        times = PrefillTimes()
        rng = random.Random(1)
        for _ in range(40):
            waited_s = rng.expovariate(2) if rng.random() < 0.5 else 0
            times.observe('large', 10_000, 0.5 + waited_s)
        found = times.expected_s('large', 10_000)
        assert found == pytest.approx(0.5, abs=0.1)


class TestBusyReplica:
    """A replica whose prompts differ a thousandfold in length.

    The replica reads prompts one after the other, a large model ten times as
    slowly. Long doubtful prompts are asked of the large model by a rule that
    looks at confidence alone, and by the one in use.
    """

    def test_more_callers_are_served_in_time(self) -> None:
        heedless = self._in_time(heeds_time=False)
        heeding = self._in_time(heeds_time=True)
        assert heeding > heedless + 0.02

    def _in_time(self, *, heeds_time: bool) -> float:
        rng = random.Random(7)
        times = PrefillTimes()
        free_s: float = 0
        now_s: float = 0
        in_time = 0
        for _ in range(4000):
            now_s += rng.expovariate(2.4)
            tokens = int(rng.lognormvariate(8.5, 1.2))
            free_s = max(now_s, free_s) + read_s('small', tokens)
            answered_s = free_s
            if rng.random() < 0.45:
                asked = self._asked(
                    times, tokens, 2 - (answered_s - now_s), heeds_time
                )
                if asked:
                    free_s += read_s(asked, tokens)
                    times.observe(asked, tokens, free_s - answered_s)
                    answered_s = free_s
            in_time += answered_s - now_s < 2
        return in_time / 4000

    def _asked(
        self,
        times: PrefillTimes,
        tokens: int,
        remaining_s: float,
        heeds_time: bool,
    ) -> str:
        if not heeds_time:
            return 'large'
        return choose_larger_model(
            ('small', 'large'),
            'small',
            EscalationContext(
                10,
                0,
                remaining_s,
                0.1,
                2,
                lambda model: times.expected_s(model, tokens),
            ),
        )


def read_s(model: str, tokens: int) -> float:
    """Return the seconds that a replica reads a prompt."""
    pace = {'small': 0.3, 'large': 3.0}[model]
    return pace * (tokens / 125_000 + tokens**2 * 0.263e-9)
