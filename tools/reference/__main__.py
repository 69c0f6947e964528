"""Write the generated reference pages."""

import pathlib

from tools.reference.events import render_events_page
from tools.reference.settings import render_settings_page

renderer_by_path = {
    'docs/EVENTS.md': render_events_page,
    'docs/operators/settings.md': render_settings_page,
}


def main() -> None:
    """Generate every page and write it to its path."""
    for path, render in renderer_by_path.items():
        target = pathlib.Path(path)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(render(), encoding='utf-8')


main()
