"""Comparing checkouts by their plays on the users' bench."""

import asyncio
import json
import pathlib
import stat
import subprocess

import pytest

from tools.experiment.comparison import differences
from tools.experiment.models import BenchReport, PlayKey, PlayRow, row_of
from tools.experiment.plays import BenchError, Player, Rows, code_id

DAY = 'trouble-1'
SITE = 'small'
# Stands for the bench: writes a report whose worth is the seed / 100.
BENCH = """#!/usr/bin/env python3
import json, sys
arguments = sys.argv[1:]
if arguments[0] == 'run':
    with open('plays', 'a') as plays:
        plays.write(' '.join(arguments) + chr(10))
    seed = int(arguments[arguments.index('--seed') + 1])
    report = {'G': seed / 100, 'parts': [['whole day', 0.5, 0.9]]}
    with open(arguments[arguments.index('--report') + 1], 'w') as report_file:
        json.dump(report, report_file)
"""


def play_row(seed: int, worth: float, **fields: object) -> PlayRow:
    """Return the row of a play."""
    return PlayRow('code', SITE, DAY, seed, worth, **fields)  # type: ignore[arg-type]


def checkout(folder: pathlib.Path) -> pathlib.Path:
    """Return a checkout with the folders that make up its sources."""
    for name in ('marigoldhoist', 'deploy'):
        (folder / name).mkdir(parents=True)
        (folder / name / 'source').write_text('first')
    for command in (
        ('init', '-q'),
        ('add', '.'),
        ('-c', 'user.name=a', '-c', 'user.email=b', 'commit', '-qm', 'c'),
    ):
        subprocess.run(('git', *command), cwd=folder, check=True)
    return folder


class TestDifferences:
    """Differences pair plays by day and seed."""

    def test_mean_and_standard_error(self) -> None:
        base = [play_row(1, 0.5), play_row(2, 0.7)]
        variant = [play_row(2, 0.9), play_row(1, 0.6)]
        day, together = differences(base, variant, [DAY])
        assert day.base == pytest.approx(0.6)
        assert day.mean == pytest.approx(0.15)
        assert day.standard_error == pytest.approx(0.05)
        assert (day.pairs, together.pairs) == (2, 2)

    def test_play_with_a_problem_is_left_out(self) -> None:
        base = [play_row(1, 0.5), play_row(2, 0.7)]
        variant = [play_row(1, 0.6), play_row(2, 0, problem='TWICE')]
        day, _ = differences(base, variant, [DAY])
        assert day.pairs == 1
        assert day.mean == pytest.approx(0.1)

    def test_terms_that_moved_most_come_first(self) -> None:
        base = [play_row(1, 0.5, terms={'zone': 0.5, 'class': 0.8})]
        variant = [play_row(1, 0.5, terms={'zone': 0.51, 'class': 0.6})]
        day, _ = differences(base, variant, [DAY])
        assert list(day.moved_by_term) == ['class', 'zone']
        assert day.moved_by_term['class'] == pytest.approx(-0.2)


class TestRow:
    """A row tells when a play must not count."""

    def test_broken_rule_is_a_problem(self) -> None:
        key = PlayKey('code', SITE, DAY, 1)
        row = row_of(key, BenchReport(0.7, {'TWICE': 1}))
        assert 'TWICE' in row.problem

    def test_play_without_a_report_is_a_problem(self) -> None:
        assert row_of(PlayKey('code', SITE, DAY, 1), None).problem


class TestPlayer:
    """Each play runs once for the same sources."""

    def test_known_plays_are_not_repeated(self, tmp_path: pathlib.Path) -> None:
        bench = tmp_path / 'bench'
        bench.write_text(BENCH)
        bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
        played = checkout(tmp_path / 'played')
        rows_path = tmp_path / 'rows'
        for _ in range(2):
            rows = Rows(rows_path)
            player = Player(bench, tmp_path / f'{SITE}.toml', rows, 2)
            asyncio.run(player.play_all([played], [DAY], [11, 12]))
        plays = (played / 'plays').read_text().splitlines()
        assert len(plays) == 2
        worths = {row.seed: row.worth for row in rows.row_by_key.values()}
        assert worths == {11: 0.11, 12: 0.12}

    def test_changed_sources_have_another_code(
        self, tmp_path: pathlib.Path
    ) -> None:
        played = checkout(tmp_path / 'played')
        before = code_id(played)
        (played / 'marigoldhoist' / 'source').write_text('second')
        assert code_id(played) != before

    def test_folder_without_sources_is_named(
        self, tmp_path: pathlib.Path
    ) -> None:
        with pytest.raises(BenchError, match=str(tmp_path)):
            code_id(tmp_path)

    def test_line_that_is_no_row_is_named(self, tmp_path: pathlib.Path) -> None:
        path = tmp_path / 'rows'
        path.write_text(json.dumps({'code': 1}))
        with pytest.raises(BenchError, match='line 1'):
            Rows(path)
