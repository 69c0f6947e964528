"""The policy bench is seeded, and reads only legal workloads."""

import pathlib
import random

import pytest

from marigoldhoist.core.errors import SettingsError
from tools.bench.replay.history import recall
from tools.bench.replay.rows import BenchRow
from tools.bench.replay.scenarios import scenarios_by_name
from tools.bench.replay.suite import Suite
from tools.bench.replay.workload import FOLDER, load_workload


def rows(scenario: str) -> list[BenchRow]:
    """Replay one scenario of the first workload."""
    suite = Suite(load_workload(FOLDER / 'zagreb.json'), seed=3)
    past = suite.learner()
    recall(suite.workload, past, 6000, random.Random(3))
    return list(suite.scenario_rows(scenarios_by_name[scenario], past))


class TestReplay:
    """A replay is the same each time and keeps its books."""

    def test_same_seed_same_rows(self) -> None:
        assert rows('bad 100%') == rows('bad 100%')

    def test_all_policies_are_side_by_side(self) -> None:
        found = {row.policy: row for row in rows('domain loss')}
        assert set(found) == {
            'ours',
            'best',
            'cheapest',
            'round robin',
            'bound',
        }
        assert found['cheapest'].cost_per_good < found['best'].cost_per_good
        assert found['ours'].false_alarms_per_day == 0


class TestWorkload:
    """A workload is validated."""

    @pytest.mark.parametrize('name', ['zagreb', 'kigali', 'target'])
    def test_shipped_ones_are_legal(self, name: str) -> None:
        assert load_workload(FOLDER / f'{name}.json').capacity_per_s > 1

    @pytest.mark.parametrize(
        ('old', 'new'),
        [
            ("bad_version: 'medium'", "bad_version: 'none'"),
            ('quality_target: 0.88', 'quality_target: 2'),
        ],
    )
    def test_illegal_one_is_refused(
        self, tmp_path: pathlib.Path, old: str, new: str
    ) -> None:
        text = (FOLDER / 'zagreb.json').read_text()
        assert old in text
        path = tmp_path / 'workload.json'
        path.write_text(text.replace(old, new))
        with pytest.raises(SettingsError):
            load_workload(path)
