"""Learn how long replicas take to read prompts.

Answers the load of prompts whose sizes differ a thousandfold: a long one on a
large model keeps a replica busy for seconds, so it must be known before the
send whether its first event can come in time.
"""

import collections
import statistics
from typing import Final

# Reading grows faster than the prompt: at this many tokens the part that
# grows with the square is as large as the part that grows linearly.
SQUARE_TOKENS: Final = 32_000
# Shorter prompts say little, as other times outweigh their reading.
LEAST_TOKENS: Final = 1500
REMEMBERED: Final = 40
LEAST_OBSERVED: Final = 3
# Seconds until the first event of a prompt of no length.
BASE_S: Final = 0.08


class PrefillTimes:
    """Seconds to the first event by model, learnt from answers.

    The lower quartile is taken, as the rest waited for other prompts too.
    """

    def __init__(self) -> None:
        self._rates_by_model: dict[str, collections.deque[float]] = {}

    def observe(self, model: str, tokens: int, seconds: float) -> None:
        """Take in one answer's seconds to its head."""
        if tokens < LEAST_TOKENS:
            return
        rates = self._rates_by_model.setdefault(
            model, collections.deque(maxlen=REMEMBERED)
        )
        rates.append(max(0, seconds - BASE_S) / _work(tokens))

    def expected_s(self, model: str, tokens: int) -> float | None:
        """Return the seconds to the first event, none where unknown."""
        rates = self._rates_by_model.get(model, ())
        if len(rates) < LEAST_OBSERVED:
            return None
        rate = statistics.quantiles(rates, n=4)[0]
        return BASE_S + max(0, rate) * _work(tokens)


def _work(tokens: int) -> float:
    return tokens * (1 + tokens / SQUARE_TOKENS)
