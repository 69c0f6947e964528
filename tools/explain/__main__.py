"""Print the timeline of one request from log files."""

import pathlib
import sys
from collections.abc import Iterator
from typing import Final

from tools.explain.lines import format_line, read_lines, request_timeline

USAGE: Final = 'usage: script/explain ID LOGS...'
EXIT_USAGE: Final = 2
EXIT_UNKNOWN: Final = 1


def main(arguments: list[str]) -> int:
    """Print the timeline of a request and return the exit code."""
    if len(arguments) < 2:
        sys.stderr.write(f'{USAGE}\n')
        return EXIT_USAGE
    request_id, *paths = arguments
    timeline = request_timeline(request_id, read_lines(_read_texts(paths)))
    if not timeline:
        sys.stderr.write(f'no log line of request {request_id!r}\n')
        return EXIT_UNKNOWN
    start_s = next(line.time_s for line in timeline if line.request_id)
    for line in timeline:
        print(format_line(line, start_s))
    return 0


def _read_texts(paths: list[str]) -> Iterator[str]:
    for path in paths:
        with pathlib.Path(path).open(encoding='utf-8', errors='replace') as log:
            yield from log


sys.exit(main(sys.argv[1:]))
