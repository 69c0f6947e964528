"""Marks tests that are listed in KNOWN-RED.txt."""

from collections.abc import Iterable, Mapping

import pytest


def known_red(entry: int) -> pytest.MarkDecorator:
    """Return the mark of a test that an entry lists."""
    return pytest.mark.xfail(strict=False, reason=f'KNOWN-RED {entry}')


def mark_known_red(
    names: Iterable[str], entry_by_name: Mapping[str, int]
) -> list[object]:
    """Return test parameters; those with an entry are marked."""
    return [
        pytest.param(name, marks=known_red(entry_by_name[name]))
        if name in entry_by_name
        else name
        for name in names
    ]
