"""Print the timeline of one request from log files."""

import sys
from typing import Final

from tools.explain.lines import format_line, read_logs, request_timeline

USAGE: Final = 'usage: script/explain ID LOGS...'
EXIT_USAGE: Final = 2
EXIT_UNKNOWN: Final = 1


def main(arguments: list[str]) -> int:
    """Print the timeline of a request and return the exit code."""
    if len(arguments) < 2:
        sys.stderr.write(f'{USAGE}\n')
        return EXIT_USAGE
    request_id, *paths = arguments
    timeline = request_timeline(request_id, read_logs(paths))
    if not timeline:
        sys.stderr.write(f'no log line of request {request_id!r}\n')
        return EXIT_UNKNOWN
    start_s = next(line.time_s for line in timeline if line.request_id)
    for line in timeline:
        print(format_line(line, start_s))
    return 0


sys.exit(main(sys.argv[1:]))
