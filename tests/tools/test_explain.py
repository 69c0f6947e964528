"""Timelines of requests from recorded logs, as in docs/OPERATIONS.md."""

import pathlib
import subprocess
import sys

import pytest

RECORDED = pathlib.Path(__file__).parent / 'recorded' / 'troubled-days.log'
ROOT = pathlib.Path(__file__).parents[2]


def explain(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the explain tool and return its result."""
    return subprocess.run(
        [sys.executable, '-m', 'tools.explain', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


class TestTimelines:
    """The requests that the page explains."""

    @pytest.mark.parametrize(
        ('request_id', 'cause'),
        (
            (
                'b77613e33ea4a53e',
                ('store_lost', 'stale_table', 'verdict=not_run'),
            ),
            (
                'd86192bd7a98cd5c',
                ('model_raised', 'tokens_in=62644', 'first_s='),
            ),
            (
                'de41c7a1137b15ce',
                ('store_lost', 'answer cut', 'upstream_failed'),
            ),
        ),
    )
    def test_names_the_cause(
        self, request_id: str, cause: tuple[str, ...]
    ) -> None:
        explained = explain(request_id, str(RECORDED))
        assert explained.returncode == 0
        for part in cause:
            assert part in explained.stdout

    def test_lines_are_in_order(self) -> None:
        explained = explain('d86192bd7a98cd5c', str(RECORDED)).stdout
        times = [float(line.split()[0]) for line in explained.splitlines()]
        assert times == sorted(times)


class TestBadInput:
    """Invalid arguments."""

    def test_unknown_request(self) -> None:
        explained = explain('none', str(RECORDED))
        assert explained.returncode == 1
        assert 'none' in explained.stderr

    def test_usage(self) -> None:
        assert explain('only-an-id').returncode == 2
