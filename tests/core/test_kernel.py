"""The kernel: start order, finding services, stopping."""

from collections.abc import Iterator

import pytest

from marigoldhoist.core import kernel as kernel_module
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.kernel import (
    BaseService,
    Component,
    Kernel,
    load_components,
)
from marigoldhoist.core.settings import parse_settings
from tools.world.samples import settings_text

calls: list[str] = []


class Noted(BaseService):
    """Notes what the kernel calls."""

    def __init__(self, name: str) -> None:
        self.name = name

    def start(self) -> None:
        """Note the start."""
        calls.append(f'start {self.name}')

    def ready(self) -> None:
        """Note that all is started."""
        calls.append(f'ready {self.name}')

    def drain(self) -> None:
        """Note the drain."""
        calls.append(f'drain {self.name}')

    def stop(self) -> None:
        """Note the stop."""
        calls.append(f'stop {self.name}')


def part(name: str, *needs: str) -> Component:
    """Return a component of that name."""
    return Component(name, needs, lambda _: Noted(name))


@pytest.fixture
def kernel(monkeypatch: pytest.MonkeyPatch) -> Iterator[Kernel]:
    """Return a kernel whose components are replaced."""
    load_components()
    calls.clear()
    parts = {'b': part('b'), 'a': part('a', 'b')}
    monkeypatch.setattr(kernel_module, 'components_by_name', parts)
    local = '127.0.0.1'
    yield Kernel(
        parse_settings(settings_text('entry-1', 'd', local, local, local))
    )


class TestKernel:
    """Components start after those they need and stop before them."""

    def test_order(self, kernel: Kernel) -> None:
        kernel.start()
        kernel.stop()
        expected = 'start b,start a,ready b,ready a,drain a,drain b,stop a'
        assert calls == [*expected.split(','), 'stop b']

    def test_find(self, kernel: Kernel) -> None:
        kernel.start()
        assert kernel.find('a', Noted).name == 'a'
        with pytest.raises(KernelError, match='no service'):
            kernel.find('c', Noted)

    def test_loop_is_named(
        self, kernel: Kernel, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        parts = {'x': part('x', 'y'), 'y': part('y', 'x')}
        monkeypatch.setattr(kernel_module, 'components_by_name', parts)
        with pytest.raises(KernelError, match='x, y'):
            kernel.start()
