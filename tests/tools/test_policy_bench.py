"""The policy benchmark is reproducible and validates its workloads."""

import pathlib
import random

import pytest

from marigoldhoist.core.errors import SettingsError
from tools.bench.replay.history import train_on_history
from tools.bench.replay.rows import BenchRow
from tools.bench.replay.scenarios import scenario_by_name
from tools.bench.replay.suite import Suite
from tools.bench.replay.workload import WORKLOAD_FOLDER, load_workload


def scenario_rows(scenario: str) -> list[BenchRow]:
    """Replay one scenario of the zagreb workload."""
    suite = Suite(load_workload(WORKLOAD_FOLDER / 'zagreb.json'), seed=3)
    learner = suite.untrained_learner()
    train_on_history(suite.workload, learner, 6000, random.Random(3))
    return list(suite.scenario_rows(scenario_by_name[scenario], learner))


class TestReplay:
    """Equal seeds yield equal rows, and every policy has a row."""

    def test_same_seed_same_rows(self) -> None:
        assert scenario_rows('bad 100%') == scenario_rows('bad 100%')

    def test_every_policy_has_a_row(self) -> None:
        row_by_policy = {
            row.policy: row for row in scenario_rows('domain loss')
        }
        assert set(row_by_policy) == {
            'ours',
            'best',
            'cheapest',
            'round robin',
            'bound',
        }
        assert (
            row_by_policy['cheapest'].cost_per_good
            < row_by_policy['best'].cost_per_good
        )
        assert row_by_policy['ours'].false_alarms_per_day == 0


class TestWorkload:
    """Loading a workload validates it."""

    @pytest.mark.parametrize('name', ['zagreb', 'kigali', 'target'])
    def test_shipped_workloads_are_valid(self, name: str) -> None:
        assert (
            load_workload(WORKLOAD_FOLDER / f'{name}.json').capacity_per_s > 1
        )

    @pytest.mark.parametrize(
        ('old', 'new'),
        [
            ("bad_version: 'medium'", "bad_version: 'none'"),
            ('quality_target: 0.88', 'quality_target: 2'),
        ],
    )
    def test_invalid_workload_is_rejected(
        self, tmp_path: pathlib.Path, old: str, new: str
    ) -> None:
        text = (WORKLOAD_FOLDER / 'zagreb.json').read_text()
        assert old in text
        path = tmp_path / 'workload.json'
        path.write_text(text.replace(old, new))
        with pytest.raises(SettingsError):
            load_workload(path)
