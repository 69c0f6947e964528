"""Test that settings errors name the key, the value and what is allowed."""

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

VALID_TEXT = """{
  // A daemon with the required settings only.
  daemon: {host: 'entry-1', failure_domain: 'zg-trnje', address: '127.0.0.1'},
}"""


@pytest.fixture(autouse=True)
def components() -> None:
    """Register every settings section."""
    load_components()


class TestSettings:
    """Settings files may have comments and are validated."""

    def test_comments_are_allowed(self) -> None:
        settings = parse_settings(VALID_TEXT)
        assert settings.section(DaemonSettings).host == 'entry-1'

    @pytest.mark.parametrize(
        ('text', 'expected'),
        [
            ('[]', 'one JSON object'),
            ('{', 'not JSON with comments'),
            (
                VALID_TEXT.replace("'127.0.0.1'", "'example.org'"),
                "daemon.address = 'example.org'",
            ),
            (VALID_TEXT.replace('host:', 'hots:'), 'unknown field `hots`'),
            (
                VALID_TEXT.replace('daemon:', 'peers: {port: 70000}, daemon:'),
                'peers.port = 70000: Expected `int` <= 65535',
            ),
        ],
    )
    def test_error_message(self, text: str, expected: str) -> None:
        with pytest.raises(SettingsError) as raised:
            parse_settings(text)
        assert expected in str(raised.value)

    def test_unknown_section_lists_allowed_sections(self) -> None:
        with pytest.raises(SettingsError) as raised:
            parse_settings('{nonsense: {}}')
        allowed = ', '.join(sorted(sections_by_name))
        expected = f"unknown section 'nonsense'; allowed: {allowed}"
        assert str(raised.value) == expected

    def test_missing_file(self, tmp_path: pathlib.Path) -> None:
        with pytest.raises(SettingsError, match='cannot read'):
            load_settings(tmp_path / 'none.json')
