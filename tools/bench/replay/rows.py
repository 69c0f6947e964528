"""Result rows of the policy benchmark."""

import statistics
from collections.abc import Sequence

import msgspec

from tools.bench.replay.replay import QualityDrop
from tools.bench.replay.tally import US_PER_S, Tally
from tools.bench.replay.workload import Workload

S_PER_DAY = 86_400
PERCENTILES = (50, 95, 99)
DIGITS = 4


class BenchRow(msgspec.Struct, frozen=True):
    """The results of one policy in one scenario.

    Times are in seconds. The cost is per good answer, in the workload's
    unit of cost. `at_target` is the share of the answers in workspaces that
    reach the quality target. `bad_answers` counts the answers of the bad
    version from its quality drop on. `detection_s` is the time from the drop
    to the first alarm of the version, or None without one.
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
    quality_drop: QualityDrop | None,
) -> BenchRow:
    """Return the row of one replay of `length_s` seconds."""
    workload_name, scenario, policy = names
    first_token = [
        _percentile_s(tally.first_token_us, percentile)
        for percentile in PERCENTILES
    ]
    token_gap = [
        _percentile_s(tally.token_gap_us, percentile)
        for percentile in PERCENTILES
    ]
    detection_delays_s = [
        time_s - quality_drop.start_s
        for time_s, version in tally.alarms
        if quality_drop is not None and quality_drop.version == version
    ]
    false_alarms = len(tally.alarms) - len(detection_delays_s)
    requests = max(1, tally.requests)
    return BenchRow(
        workload=workload_name,
        scenario=scenario,
        policy=policy,
        seed=seed,
        requests=tally.requests,
        cost_per_good=_rounded(tally.cost / max(1, tally.good)),
        quality=_rounded(tally.good / max(1, tally.delivered)),
        at_target=_rounded(tally.share_at_target(workload.quality_target)),
        first_p50_s=first_token[0],
        first_p95_s=first_token[1],
        first_p99_s=first_token[2],
        gap_p50_s=token_gap[0],
        gap_p95_s=token_gap[1],
        gap_p99_s=token_gap[2],
        goodput_per_s=_rounded(
            tally.on_time / (length_s - tally.measured_from_s)
        ),
        refused_share=_rounded(tally.refused / requests),
        failed_share=_rounded(tally.failed / requests),
        retries_per_request=_rounded(tally.retries / requests),
        sends_per_request=_rounded(tally.sends / requests),
        bad_answers=tally.bad_version_answers,
        detection_s=_rounded(detection_delays_s[0])
        if detection_delays_s
        else None,
        false_alarms_per_day=_rounded(false_alarms * S_PER_DAY / length_s),
    )


def spread(values: Sequence[float]) -> float:
    """Return the standard deviation over seeds, or zero for one seed."""
    return statistics.stdev(values) if len(values) > 1 else 0


def _percentile_s(histogram: object, percentile: float) -> float:
    time_us: int = histogram.get_value_at_percentile(percentile)  # type: ignore[attr-defined]
    return _rounded(time_us / US_PER_S)


def _rounded(value: float) -> float:
    return round(value, DIGITS)
