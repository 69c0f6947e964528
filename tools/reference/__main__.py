"""Write the generated reference pages."""

import pathlib

from tools.reference.events import events_page
from tools.reference.settings import settings_page

page_by_path = {
    'docs/EVENTS.md': events_page,
    'docs/operators/settings.md': settings_page,
}


def main() -> None:
    """Write every page."""
    for path, page in page_by_path.items():
        target = pathlib.Path(path)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(page(), encoding='utf-8')


main()
