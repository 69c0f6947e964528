"""The built file is reproducible and fits hosts without a disk."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys

import pytest

from tools.bench.relay_environment import ENTRY_PORT, wait_for_port
from tools.build import main as build
from tools.world.addresses import next_address
from tools.world.samples import PEER_KEY, settings_text

AUDITED = pathlib.Path(__file__).with_name('audited.py')
STOP_S = 20


@pytest.fixture(scope='module')
def built(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Build the file."""
    target = tmp_path_factory.mktemp('dist') / 'marigoldhoist'
    build(str(target))
    return target


class TestBuild:
    """The one file."""

    def test_same_bytes_twice(
        self, built: pathlib.Path, tmp_path: pathlib.Path
    ) -> None:
        again = tmp_path / 'again'
        build(str(again))
        assert built.read_bytes() == again.read_bytes()
        assert os.access(built, os.X_OK)

    def test_daemon_writes_only_where_it_unpacks_and_starts_no_process(
        self, built: pathlib.Path, tmp_path: pathlib.Path
    ) -> None:
        root = tmp_path / 'memory'
        hooks = tmp_path / 'hooks'
        hooks.mkdir()
        shutil.copy(AUDITED, hooks / 'sitecustomize.py')
        notes = tmp_path / 'notes'
        address = next_address()
        settings = tmp_path / 'settings.json'
        settings.write_text(
            settings_text('entry-1', 'zg-trnje', address, address, address)
        )
        # Nothing can be written in /proc, not even by root.
        daemon = subprocess.Popen(
            (sys.executable, str(built), 'serve', str(settings)),
            env={
                'SHIV_ROOT': str(root),
                'HOME': '/proc',
                'TMPDIR': '/proc',
                'PYTHONPATH': str(hooks),
                'AUDIT_FILE': str(notes),
                'MARIGOLDHOIST_PEER_KEY': PEER_KEY,
            },
            cwd='/proc',
        )
        try:
            wait_for_port(address, ENTRY_PORT)
        finally:
            daemon.send_signal(signal.SIGTERM)
            exit_code = daemon.wait(STOP_S)
        assert exit_code == 0
        noted = notes.read_text().splitlines()
        outside = [
            line for line in noted if not line.startswith(f'write {root}')
        ]
        assert len(noted) > len(outside)
        assert outside == []
