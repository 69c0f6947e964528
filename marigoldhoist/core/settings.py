"""Load and validate settings: JSON with comments, in named sections."""

import pathlib
from collections.abc import Callable
from typing import Any, TypeVar

import json5
import msgspec

from marigoldhoist.core.errors import SettingsError

SectionT = TypeVar('SectionT', bound=msgspec.Struct)

sections_by_name: dict[str, type[msgspec.Struct]] = {}


def settings_section(
    name: str,
) -> Callable[[type[SectionT]], type[SectionT]]:
    """Return a decorator that registers a struct as a settings section."""

    def register(section: type[SectionT]) -> type[SectionT]:
        sections_by_name[name] = section
        return section

    return register


class Settings:
    """The validated settings of one daemon, by section type."""

    def __init__(self, raw_by_name: dict[str, Any]) -> None:
        unknown = sorted(set(raw_by_name) - set(sections_by_name))
        if unknown:
            allowed = ', '.join(sorted(sections_by_name))
            raise SettingsError(
                f'unknown section {unknown[0]!r}; allowed: {allowed}'
            )
        self._section_by_type = {
            section: _convert(name, raw_by_name.get(name, {}), section)
            for name, section in sections_by_name.items()
        }

    def section(self, section: type[SectionT]) -> SectionT:
        """Return the section of the given type."""
        found = self._section_by_type[section]
        if not isinstance(found, section):
            raise SettingsError(f'no section {section.__name__}')
        return found


def load_settings(path: pathlib.Path) -> Settings:
    """Read a settings file; raise SettingsError that names the bad key."""
    try:
        text = path.read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(f'cannot read {path}: {error.strerror}') from error
    return parse_settings(text)


def parse_settings(text: str) -> Settings:
    """Parse and validate settings from JSON with comments."""
    try:
        raw = json5.loads(text)
    except ValueError as error:
        raise SettingsError(f'not JSON with comments: {error}') from error
    if not isinstance(raw, dict):
        raise SettingsError('settings must be one JSON object')
    return Settings(raw)


def _convert(
    name: str, raw: Any, section: type[msgspec.Struct]
) -> msgspec.Struct:
    try:
        return msgspec.convert(raw, section)
    except msgspec.ValidationError as error:
        detail = str(error)
        key = _failing_key(detail, name)
        value_text = _value_text(raw, key, name)
        raise SettingsError(f'{key}{value_text}: {detail}') from error


def _failing_key(detail: str, name: str) -> str:
    _, _, path = detail.partition('`$')
    return name + path.rstrip('`')


def _value_text(raw: Any, key: str, name: str) -> str:
    found = raw
    for part in key.removeprefix(name).split('.')[1:]:
        if not isinstance(found, dict) or part not in found:
            return ''
        found = found[part]
    if found is raw:
        return ''
    return f' = {found!r}'
