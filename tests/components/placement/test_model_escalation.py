"""Tests of model escalation and of the prefill time estimate."""

import dataclasses
import random

import pytest

from marigoldhoist.components.placement.model_escalation import (
    MAX_LOAD,
    EscalationContext,
    MeanDelays,
    choose_larger_model,
    first_model,
)
from marigoldhoist.components.placement.prefill_times import PrefillTimes

MODELS = ('small', 'middle', 'large')
EXPECTED_S_BY_MODEL = {'small': 0.1, 'middle': 0.4, 'large': 1.5}


def expected_s(model: str) -> float | None:
    """Return the expected seconds to the first event of a model."""
    return EXPECTED_S_BY_MODEL.get(model)


def escalation(
    confidence: int | None = 10,
    remaining_s: float = 2,
    load: float = 0.1,
    attempts_left: int = 2,
) -> EscalationContext:
    """Return a context that leads to escalation on an urgent route."""
    return EscalationContext(
        confidence, 0, remaining_s, load, attempts_left, expected_s
    )


class TestDelays:
    """Other prompts delay the answer of the larger model."""

    @pytest.mark.parametrize(
        ('present_s', 'chosen'), ((0, 'large'), (0.5, 'middle'), (1.5, ''))
    )
    def test_largest_model_that_is_in_time_in_spite_of_them(
        self, present_s: float, chosen: str
    ) -> None:
        context = dataclasses.replace(
            escalation(), delays=MeanDelays(present_s)
        )
        assert choose_larger_model(MODELS, 'small', context) == chosen

    @pytest.mark.parametrize(
        ('lasting_s', 'chosen'),
        ((0, 'large'), (0.05, 'large'), (0.2, ''), (100, '')),
    )
    def test_lasting_delay_keeps_answers_of_medium_confidence(
        self, lasting_s: float, chosen: str
    ) -> None:
        context = dataclasses.replace(
            escalation(confidence=50), delays=MeanDelays(0, lasting_s)
        )
        assert choose_larger_model(MODELS, 'small', context) == chosen

    def test_answer_of_low_confidence_is_discarded_all_the_same(self) -> None:
        context = dataclasses.replace(
            escalation(confidence=40), delays=MeanDelays(0, 100)
        )
        assert choose_larger_model(MODELS, 'small', context) == 'large'


class TestChooseLargerModel:
    """Low-confidence answers are discarded for a larger model."""

    def test_smallest_model_is_asked_first(self) -> None:
        assert first_model(MODELS) == 'small'
        assert not first_model(())

    def test_low_confidence_escalates_to_the_largest(self) -> None:
        assert choose_larger_model(MODELS, 'small', escalation()) == 'large'

    def test_largest_model_in_time_is_chosen(self) -> None:
        found = choose_larger_model(MODELS, 'small', escalation(remaining_s=1))
        assert found == 'middle'

    @pytest.mark.parametrize(
        ('context', 'current'),
        (
            (escalation(confidence=95), 'small'),
            (escalation(confidence=None), 'small'),
            (escalation(remaining_s=0.2), 'small'),
            (escalation(load=MAX_LOAD + 0.1), 'small'),
            (escalation(attempts_left=0), 'small'),
            (escalation(), 'large'),
            (escalation(), 'named by the caller'),
        ),
    )
    def test_answer_is_kept(
        self, context: EscalationContext, current: str
    ) -> None:
        assert not choose_larger_model(MODELS, current, context)


class TestPrefillTimes:
    """Estimates of the time to the first event from past answers."""

    def test_unknown_before_enough_answers(self) -> None:
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

    def test_queueing_delays_are_excluded(self) -> None:
        times = PrefillTimes()
        rng = random.Random(1)
        for _ in range(40):
            waited_s = rng.expovariate(2) if rng.random() < 0.5 else 0
            times.observe('large', 10_000, 0.5 + waited_s)
        found = times.expected_s('large', 10_000)
        assert found == pytest.approx(0.5, abs=0.1)


class TestBusyReplica:
    """Escalation at a busy replica with prompts of very different lengths.

    The simulated replica prefills one prompt after the other, ten times more
    slowly for the large model. Escalating on confidence alone queues long
    prompts for the large model and delays the requests behind them. The rule
    in use also compares the expected time with the remaining time.
    """

    def test_more_callers_are_served_in_time(self) -> None:
        ignoring = self._in_time_share(checks_time=False)
        checking = self._in_time_share(checks_time=True)
        assert checking > ignoring + 0.02

    def _in_time_share(self, *, checks_time: bool) -> float:
        rng = random.Random(7)
        times = PrefillTimes()
        free_s: float = 0
        now_s: float = 0
        in_time = 0
        for _ in range(4000):
            now_s += rng.expovariate(2.4)
            tokens = int(rng.lognormvariate(8.5, 1.2))
            free_s = max(now_s, free_s) + prefill_s('small', tokens)
            answered_s = free_s
            if rng.random() < 0.45:
                larger = self._escalate(
                    times, tokens, 2 - (answered_s - now_s), checks_time
                )
                if larger:
                    free_s += prefill_s(larger, tokens)
                    times.observe(larger, tokens, free_s - answered_s)
                    answered_s = free_s
            in_time += answered_s - now_s < 2
        return in_time / 4000

    def _escalate(
        self,
        times: PrefillTimes,
        tokens: int,
        remaining_s: float,
        checks_time: bool,
    ) -> str:
        if not checks_time:
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


def prefill_s(model: str, tokens: int) -> float:
    """Return the seconds that a replica takes to prefill a prompt."""
    rate = {'small': 0.3, 'large': 3.0}[model]
    return rate * (tokens / 125_000 + tokens**2 * 0.263e-9)
