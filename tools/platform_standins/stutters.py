"""What a faulty replica sends after an answer, registered by name."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from typing import Final

from tools.platform_standins.http import HEAD_END

MAX_LATE_S: Final = 0.05
EVEN_ODDS: Final = (True, False)


@dataclasses.dataclass(frozen=True, slots=True)
class Stutter:
    """What follows an answer: at once, later, and after that."""

    at_once: bytes = b''
    late: bytes = b''
    rest: bytes = b''


StutterFactory = Callable[[bytes, random.Random], Stutter]
stutter_by_name: dict[str, StutterFactory] = {}


def register_stutter(factory: StutterFactory) -> StutterFactory:
    """Register what follows an answer under the function's name."""
    stutter_by_name[factory.__name__] = factory
    return factory


def _part_of_head(answer: bytes, rng: random.Random) -> bytes:
    return answer[: rng.randrange(1, answer.index(HEAD_END) + len(HEAD_END))]


@register_stutter
def part_at_once(answer: bytes, rng: random.Random) -> Stutter:
    """Return the first part of a copy's head, in the same write."""
    return Stutter(at_once=_part_of_head(answer, rng))


@register_stutter
def part_late(answer: bytes, rng: random.Random) -> Stutter:
    """Return the first part of a copy's head."""
    return Stutter(late=_part_of_head(answer, rng))


@register_stutter
def copy_in_two_parts(answer: bytes, rng: random.Random) -> Stutter:
    """Return a copy whose head is interrupted."""
    part = _part_of_head(answer, rng)
    return Stutter(late=part, rest=answer[len(part) :])


@register_stutter
def copy_late(answer: bytes, _rng: random.Random) -> Stutter:
    """Return a whole copy."""
    return Stutter(late=answer)


@register_stutter
def other_status_late(answer: bytes, rng: random.Random) -> Stutter:
    """Return a second answer to the same request with another status."""
    status_line, _, others = answer.partition(b'\r\n')
    status = b'500' if b' 200 ' in status_line else b'200'
    changed = b'HTTP/1.1 %b Status\r\n%b' % (status, others)
    return Stutter(late=rng.choice((changed, answer)))


class StutteringWriter:
    """Writes answers, every second time with a stutter of one kind."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self._make_stutter = stutter_by_name[name]
        self._rng = rng
        self._late: set[asyncio.Task[None]] = set()

    def write(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Write an answer, and what follows it late in a task."""
        stutter = Stutter()
        if self._rng.choice(EVEN_ODDS):
            stutter = self._make_stutter(answer, self._rng)
        writer.write(answer + stutter.at_once)
        if stutter.late:
            task = asyncio.create_task(self._write_late(writer, stutter))
            self._late.add(task)
            task.add_done_callback(self._late.discard)

    async def _write_late(
        self, writer: asyncio.StreamWriter, stutter: Stutter
    ) -> None:
        for part in (stutter.late, stutter.rest):
            await asyncio.sleep(self._rng.uniform(0, MAX_LATE_S))
            if writer.is_closing():
                return
            writer.write(part)
