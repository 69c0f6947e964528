"""Settings: every error names the key, the value and what is allowed."""

import pathlib

import pytest

from marigoldhoist.core.errors import SettingsError
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import load_components
from marigoldhoist.core.settings import (
    load_settings,
    parse_settings,
    sections_by_name,
)

GOOD = """{
  // One daemon of the workshop.
  daemon: {host: 'entry-1', failure_domain: 'zg-trnje', address: '127.0.0.1'},
}"""


@pytest.fixture(autouse=True)
def components() -> None:
    """Register every settings section."""
    load_components()


class TestSettings:
    """Files are read with comments and checked."""

    def test_comments_are_allowed(self) -> None:
        settings = parse_settings(GOOD)
        assert settings.section(DaemonSettings).host == 'entry-1'

    @pytest.mark.parametrize(
        ('text', 'named'),
        [
            ('[]', 'one JSON object'),
            ('{', 'not JSON with comments'),
            (
                GOOD.replace("'127.0.0.1'", "'example.org'"),
                "daemon.address = 'example.org'",
            ),
            (GOOD.replace('host:', 'hots:'), 'unknown field `hots`'),
            (
                GOOD.replace('daemon:', 'peers: {port: 70000}, daemon:'),
                'peers.port = 70000: Expected `int` <= 65535',
            ),
        ],
    )
    def test_errors(self, text: str, named: str) -> None:
        with pytest.raises(SettingsError) as raised:
            parse_settings(text)
        assert named in str(raised.value)

    def test_unknown_section_names_all_known(self) -> None:
        with pytest.raises(SettingsError) as raised:
            parse_settings('{nonsense: {}}')
        allowed = ', '.join(sorted(sections_by_name))
        expected = f"unknown section 'nonsense'; allowed: {allowed}"
        assert str(raised.value) == expected

    def test_missing_file(self, tmp_path: pathlib.Path) -> None:
        with pytest.raises(SettingsError, match='cannot read'):
            load_settings(tmp_path / 'none.json')
