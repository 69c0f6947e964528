"""The generated reference pages are up to date."""

import pathlib

from tools.reference.events import render_events_page
from tools.reference.settings import render_settings_page

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


class TestReference:
    """The committed pages equal the generated ones."""

    def test_events(self) -> None:
        assert (DOCS / 'EVENTS.md').read_text() == render_events_page()

    def test_settings(self) -> None:
        page = DOCS / 'operators' / 'settings.md'
        assert page.read_text() == render_settings_page()
