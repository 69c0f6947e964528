"""The story of a request from recorded logs, as docs/OPERATIONS.md shows."""

import pathlib
import subprocess
import sys

import pytest

RECORDED = pathlib.Path(__file__).parent / 'recorded' / 'troubled-days.log'
ROOT = pathlib.Path(__file__).parents[2]


def explain(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command."""
    return subprocess.run(
        [sys.executable, '-m', 'tools.explain', *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


class TestStories:
    """Each kind of request that the page explains."""

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
        told = explain(request_id, str(RECORDED))
        assert told.returncode == 0
        for part in cause:
            assert part in told.stdout

    def test_lines_are_in_order(self) -> None:
        told = explain('d86192bd7a98cd5c', str(RECORDED)).stdout
        times = [float(line.split()[0]) for line in told.splitlines()]
        assert times == sorted(times)


class TestBadInput:
    """Calls that cannot be answered."""

    def test_unknown_request(self) -> None:
        told = explain('none', str(RECORDED))
        assert told.returncode == 1
        assert 'none' in told.stderr

    def test_usage(self) -> None:
        assert explain('only-an-id').returncode == 2
