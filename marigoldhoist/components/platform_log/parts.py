"""The parts of a stream's state: dumped together, restored together."""

import dataclasses
from collections.abc import Callable, Mapping

import msgspec

from marigoldhoist.components.platform_log.events import PARTS_FAILED
from marigoldhoist.core.events import emit

Dump = Callable[[], msgspec.Raw]
Restore = Callable[[msgspec.Raw], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What one component folded; the restore replaces all of it."""

    dump: Dump
    restore: Restore


class Parts:
    """The parts by name."""

    def __init__(self) -> None:
        self._part_by_name: dict[str, Part] = {}

    def add(self, name: str, part: Part) -> None:
        """Register a part."""
        self._part_by_name[name] = part

    def dump(self) -> dict[str, msgspec.Raw]:
        """Dump every part."""
        return {name: part.dump() for name, part in self._part_by_name.items()}

    def restore(self, dumped_by_part: Mapping[str, msgspec.Raw]) -> bool:
        """Replace every part, or none where one is missing or unreadable.

        A part that this daemon does not know is passed over.
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
