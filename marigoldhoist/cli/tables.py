"""Print records as JSON or as aligned columns."""

import json
from collections.abc import Iterable, Sequence
from typing import Any

COLUMN_GAP = '  '


def print_json(content: Any) -> None:
    """Print content as one line of JSON."""
    print(json.dumps(content))


def print_columns(names: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a header line and one line for each row, in aligned columns."""
    lines = [tuple(names), *(tuple(map(str, row)) for row in rows)]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(names))
    ]
    for line in lines:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        print(COLUMN_GAP.join(padded).rstrip())
