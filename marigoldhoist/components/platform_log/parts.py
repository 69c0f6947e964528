"""Component states that are derived from one stream.

A snapshot of the stream contains all of these parts, and restoring it
replaces all of them.
"""

import dataclasses
from collections.abc import Callable, Mapping

import msgspec

from marigoldhoist.components.platform_log.events import PARTS_FAILED
from marigoldhoist.core.events import emit

Dump = Callable[[], msgspec.Raw]
Restore = Callable[[msgspec.Raw], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Serializer and deserializer of one component's folded state.

    `restore` replaces the whole state of the component.
    """

    dump: Dump
    restore: Restore


class Parts:
    """Registry of the parts of one stream's state, by name."""

    def __init__(self) -> None:
        self._part_by_name: dict[str, Part] = {}

    def add(self, name: str, part: Part) -> None:
        """Register a part."""
        self._part_by_name[name] = part

    def dump(self) -> dict[str, msgspec.Raw]:
        """Serialize every part, by name."""
        return {name: part.dump() for name, part in self._part_by_name.items()}

    def restore(self, dumped_by_part: Mapping[str, msgspec.Raw]) -> bool:
        """Replace every part; return whether that succeeded.

        If a part is missing or cannot be decoded, all parts keep their state
        and the result is False. Parts that are not registered are ignored.
        """
        missing = self._part_by_name.keys() - dumped_by_part.keys()
        if missing:
            emit(PARTS_FAILED, error=f'missing: {sorted(missing)}')
            return False
        before = self.dump()
        try:
            self._replace(dumped_by_part)
        except Exception as error:
            emit(PARTS_FAILED, error=repr(error))
            self._replace(before)
            return False
        return True

    def _replace(self, dumped_by_part: Mapping[str, msgspec.Raw]) -> None:
        for name, part in self._part_by_name.items():
            part.restore(dumped_by_part[name])
