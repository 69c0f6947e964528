"""The generated pages are those of the code."""

import pathlib

from tools.reference.events import events_page
from tools.reference.settings import settings_page

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


class TestReference:
    """Pages and code agree."""

    def test_events(self) -> None:
        assert (DOCS / 'EVENTS.md').read_text() == events_page()

    def test_settings(self) -> None:
        page = DOCS / 'operators' / 'settings.md'
        assert page.read_text() == settings_page()
