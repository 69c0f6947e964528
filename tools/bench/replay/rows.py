"""The rows that the policy bench prints."""

import statistics
from collections.abc import Sequence

import msgspec

from tools.bench.replay.replay import BadTurn
from tools.bench.replay.tally import US_PER_S, Tally
from tools.bench.replay.workload import Workload

S_PER_DAY = 86_400
PERCENTILES = (50, 95, 99)
DIGITS = 4


class BenchRow(msgspec.Struct, frozen=True):
    """What callers got in one scenario under one policy.

    Times are in seconds; cost is in the workload's unit for each good
    answer; the detection delay is none where nothing was detected.
    """

    workload: str
    scenario: str
    policy: str
    seed: int
    requests: int
    cost_per_good: float
    quality: float
    at_target: float
    first_p50_s: float
    first_p95_s: float
    first_p99_s: float
    gap_p50_s: float
    gap_p95_s: float
    gap_p99_s: float
    goodput_per_s: float
    refused_share: float
    failed_share: float
    retries_per_request: float
    sends_per_request: float
    bad_answers: int
    detection_s: float | None
    false_alarms_per_day: float


def bench_row(
    names: tuple[str, str, str],
    seed: int,
    workload: Workload,
    tally: Tally,
    length_s: float,
    turn: BadTurn | None,
) -> BenchRow:
    """Return the row of one run."""
    workload_name, scenario, policy = names
    first = [_percentile_s(tally.firsts, rank) for rank in PERCENTILES]
    gap = [_percentile_s(tally.gaps, rank) for rank in PERCENTILES]
    delays = [
        time_s - turn.at_s
        for time_s, version in tally.alarms
        if turn is not None and turn.version == version
    ]
    false_alarms = len(tally.alarms) - len(delays)
    requests = max(1, tally.requests)
    return BenchRow(
        workload=workload_name,
        scenario=scenario,
        policy=policy,
        seed=seed,
        requests=tally.requests,
        cost_per_good=_rounded(tally.cost / max(1, tally.good)),
        quality=_rounded(tally.good / max(1, tally.delivered)),
        at_target=_rounded(tally.at_target(workload.quality_target)),
        first_p50_s=first[0],
        first_p95_s=first[1],
        first_p99_s=first[2],
        gap_p50_s=gap[0],
        gap_p95_s=gap[1],
        gap_p99_s=gap[2],
        goodput_per_s=_rounded(tally.in_time / (length_s - tally.begin_s)),
        refused_share=_rounded(tally.refused / requests),
        failed_share=_rounded(tally.failed / requests),
        retries_per_request=_rounded(tally.retries / requests),
        sends_per_request=_rounded(tally.sends / requests),
        bad_answers=tally.from_bad,
        detection_s=_rounded(delays[0]) if delays else None,
        false_alarms_per_day=_rounded(false_alarms * S_PER_DAY / length_s),
    )


def spread(values: Sequence[float]) -> float:
    """Return the standard deviation over seeds, zero for one seed."""
    return statistics.stdev(values) if len(values) > 1 else 0


def _percentile_s(histogram: object, rank: float) -> float:
    found: int = histogram.get_value_at_percentile(rank)  # type: ignore[attr-defined]
    return _rounded(found / US_PER_S)


def _rounded(value: float) -> float:
    return round(value, DIGITS)
