"""The built file is reproducible and runs on hosts without a disk."""

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

AUDIT_HOOK = pathlib.Path(__file__).with_name('audit_hook.py')
STOP_TIMEOUT_S = 20


@pytest.fixture(scope='module')
def built_file(tmp_path_factory: pytest.TempPathFactory) -> pathlib.Path:
    """Build the executable file once for all tests."""
    target = tmp_path_factory.mktemp('dist') / 'marigoldhoist'
    build(str(target))
    return target


class TestBuild:
    """The executable file."""

    def test_same_bytes_twice(
        self, built_file: pathlib.Path, tmp_path: pathlib.Path
    ) -> None:
        again = tmp_path / 'again'
        build(str(again))
        assert built_file.read_bytes() == again.read_bytes()
        assert os.access(built_file, os.X_OK)

    def test_daemon_only_unpacks_and_starts_no_process(
        self, built_file: pathlib.Path, tmp_path: pathlib.Path
    ) -> None:
        root = tmp_path / 'memory'
        hooks = tmp_path / 'hooks'
        hooks.mkdir()
        shutil.copy(AUDIT_HOOK, hooks / 'sitecustomize.py')
        audit_file = tmp_path / 'audit.log'
        address = next_address()
        settings = tmp_path / 'settings.json'
        settings.write_text(
            settings_text('entry-1', 'zg-trnje', address, address, address)
        )
        # Not even root can write to /proc.
        daemon = subprocess.Popen(
            (sys.executable, str(built_file), 'serve', str(settings)),
            env={
                'SHIV_ROOT': str(root),
                'HOME': '/proc',
                'TMPDIR': '/proc',
                'PYTHONPATH': str(hooks),
                'AUDIT_FILE': str(audit_file),
                'MARIGOLDHOIST_PEER_KEY': PEER_KEY,
            },
            cwd='/proc',
        )
        try:
            wait_for_port(address, ENTRY_PORT)
        finally:
            daemon.send_signal(signal.SIGTERM)
            exit_code = daemon.wait(STOP_TIMEOUT_S)
        assert exit_code == 0
        audit_lines = audit_file.read_text().splitlines()
        outside = [
            line for line in audit_lines if not line.startswith(f'write {root}')
        ]
        assert len(audit_lines) > len(outside)
        assert outside == []
