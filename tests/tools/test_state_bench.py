"""The state benchmark runs against the current components."""

import pytest

from tools.bench import state_hosts, state_table


class TestStateBench:
    """Parts that start no daemon process print the fitted cost."""

    def test_hosts(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        monkeypatch.setattr(state_hosts, 'HOST_COUNTS', (12, 24, 36))
        state_hosts.measure_hosts()
        printed = capsys.readouterr().out
        assert printed.count('replicas of a version') == 3
        assert 'us per host to select replicas' in printed

    def test_fold(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        monkeypatch.setattr(state_table, 'ROW_COUNTS', (3, 6, 9))
        state_table.measure_fold()
        assert 'us per row and change' in capsys.readouterr().out
