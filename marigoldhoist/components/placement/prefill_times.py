"""Estimate how long replicas take to prefill prompts.

Prompt lengths differ by a factor of a thousand, and a long prompt on a large
model occupies a replica for seconds. The estimate shows before a request is
sent whether its first event can arrive in time.
"""

import collections
import statistics
from typing import Final

# Prefill time grows faster than the prompt: at this length the quadratic term
# equals the linear term.
QUADRATIC_TOKENS: Final = 32_000
# Shorter prompts are ignored, because other delays outweigh their prefill.
MIN_TOKENS: Final = 1500
# Newest observations kept of each model.
MAX_OBSERVATIONS: Final = 40
# Observations needed before an estimate is given.
MIN_OBSERVATIONS: Final = 3
# Time to the first event of an empty prompt.
BASE_S: Final = 0.08


class PrefillTimes:
    """Estimates the time to the first event by model from past answers.

    Uses the lower quartile of the observations, because the slower answers
    also include time spent waiting for the prefill of other prompts.
    """

    def __init__(self) -> None:
        # Seconds per unit of prefill work, see _prefill_work.
        self._rates_by_model: dict[str, collections.deque[float]] = {}

    def observe(self, model: str, tokens: int, seconds: float) -> None:
        """Record the seconds to the response head for a prompt length."""
        if tokens < MIN_TOKENS:
            return
        rates = self._rates_by_model.setdefault(
            model, collections.deque(maxlen=MAX_OBSERVATIONS)
        )
        rates.append(max(0, seconds - BASE_S) / _prefill_work(tokens))

    def expected_s(self, model: str, tokens: int) -> float | None:
        """Return the expected seconds to the first event, None if unknown."""
        rates = self._rates_by_model.get(model, ())
        if len(rates) < MIN_OBSERVATIONS:
            return BASE_S if tokens < MIN_TOKENS else None
        rate = statistics.quantiles(rates, n=4)[0]
        return BASE_S + max(0, rate) * _prefill_work(tokens)


def _prefill_work(tokens: int) -> float:
    """Return the prefill work of a prompt, in tokens at the linear rate."""
    return tokens * (1 + tokens / QUADRATIC_TOKENS)
