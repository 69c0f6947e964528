"""Test the commands against running daemons."""

import json
from collections.abc import Iterator
from functools import partial

import pytest

from marigoldhoist.cli.commands import Commands
from marigoldhoist.cli.errors import CommandError
from marigoldhoist.components.peers.const import COMPONENT as PEERS
from marigoldhoist.components.peers.service import PeerService
from marigoldhoist.components.table.const import COMPONENT as TABLE
from marigoldhoist.components.table.service import TableService
from tools.standins.log import LogFaults
from tools.world.samples import OPERATOR_KEY
from tools.world.world import World, wait_until

Output = pytest.CaptureFixture[str]


def has_table(table: TableService) -> bool:
    """Return whether a daemon has loaded its table."""
    return not table.state.is_empty


@pytest.fixture(scope='class')
def world() -> Iterator[World]:
    """Start two connected daemons, each with a loaded table."""
    with World() as started:
        for host in ('entry-1', 'entry-2'):
            kernel = started.add_daemon(host, 'zg-trnje')
            table = kernel.find(TABLE, TableService)
            wait_until(partial(has_table, table), 'table')
        peers = started.kernels_by_host['entry-1'].find(PEERS, PeerService)
        wait_until(lambda: len(peers.linked_peers()) == 1, 'link')
        yield started


@pytest.fixture(autouse=True)
def environment(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """Point the commands at the first daemon."""
    url = f'http://{world.address_of("entry-1")}:7300'
    monkeypatch.setenv('MARIGOLDHOIST_URL', url)
    monkeypatch.setenv('MARIGOLDHOIST_OPERATOR_KEY', OPERATOR_KEY)
    monkeypatch.setenv('LOGNAME', 'ana')


class TestTableCommands:
    """Table commands report the outcome of each change."""

    def test_withdraw_waits_for_every_daemon(self, capsys: Output) -> None:
        with pytest.raises(SystemExit) as exit_info:
            Commands().table.withdraw('pult-model', 'small')
        assert exit_info.value.code == 0
        assert 'in force at every daemon' in capsys.readouterr().out

    def test_illegal_change_is_rejected(self, capsys: Output) -> None:
        row = {'weights_by_version': {'small': 0}}
        with pytest.raises(SystemExit) as exit_info:
            Commands().table.set('model/pult-model', row, json=True)
        assert exit_info.value.code == 1
        answer = json.loads(capsys.readouterr().out)
        assert answer['outcome'] == 'rejected'
        assert 'weights sum to nothing' in answer['reason']

    def test_outcome_is_unknown_when_log_is_down(
        self, world: World, capsys: Output
    ) -> None:
        world.set_log_faults(LogFaults(is_down=True))
        with pytest.raises(SystemExit) as exit_info:
            Commands().table.set('service/stock', {})
        world.set_log_faults(LogFaults())
        assert exit_info.value.code == 3
        assert capsys.readouterr().out.startswith('unknown')

    def test_show_and_history(self, capsys: Output) -> None:
        Commands().table.show()
        Commands().table.history('workspace/bench')
        printed = capsys.readouterr().out
        assert 'workspace/bench' in printed
        assert 'accepted' in printed

    def test_row_must_be_an_object(self) -> None:
        with pytest.raises(CommandError, match='JSON object'):
            Commands().table.set('service/stock', 3)


class TestFleetCommands:
    """Fleet commands show all reachable daemons and need an operator key."""

    def test_status_shows_all_daemons(self, capsys: Output) -> None:
        Commands().status(json=True)
        fleet = json.loads(capsys.readouterr().out)
        assert [daemon['host'] for daemon in fleet['daemons']] == [
            'entry-1',
            'entry-2',
        ]
        Commands().status()
        assert 'entry-2' in capsys.readouterr().out

    def test_wrong_key_is_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv('MARIGOLDHOIST_OPERATOR_KEY', 'wrong')
        with pytest.raises(CommandError, match='not an operator key'):
            Commands().audit()
