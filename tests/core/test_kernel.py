"""Test the kernel: start and stop order, and service lookup."""

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


class RecordingService(BaseService):
    """A service that records the hooks that the kernel calls."""

    def __init__(self, name: str) -> None:
        self.name = name

    def start(self) -> None:
        """Record the call."""
        calls.append(f'start {self.name}')

    def ready(self) -> None:
        """Record the call."""
        calls.append(f'ready {self.name}')

    def drain(self) -> None:
        """Record the call."""
        calls.append(f'drain {self.name}')

    def stop(self) -> None:
        """Record the call."""
        calls.append(f'stop {self.name}')


def recording_component(name: str, *needs: str) -> Component:
    """Return a component whose service records its calls."""
    return Component(name, needs, lambda _: RecordingService(name))


@pytest.fixture
def kernel(monkeypatch: pytest.MonkeyPatch) -> Iterator[Kernel]:
    """Return a kernel with component a, which depends on b."""
    load_components()
    calls.clear()
    by_name = {
        'b': recording_component('b'),
        'a': recording_component('a', 'b'),
    }
    monkeypatch.setattr(kernel_module, 'components_by_name', by_name)
    local = '127.0.0.1'
    yield Kernel(
        parse_settings(settings_text('entry-1', 'd', local, local, local))
    )


class TestKernel:
    """Components start after their dependencies and stop before them."""

    def test_start_and_stop_order(self, kernel: Kernel) -> None:
        kernel.start()
        kernel.stop()
        expected = 'start b,start a,ready b,ready a,drain a,drain b,stop a'
        assert calls == [*expected.split(','), 'stop b']

    def test_find_service(self, kernel: Kernel) -> None:
        kernel.start()
        assert kernel.find('a', RecordingService).name == 'a'
        with pytest.raises(KernelError, match='no service'):
            kernel.find('c', RecordingService)

    def test_cycle_error_names_components(
        self, kernel: Kernel, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        by_name = {
            'x': recording_component('x', 'y'),
            'y': recording_component('y', 'x'),
        }
        monkeypatch.setattr(kernel_module, 'components_by_name', by_name)
        with pytest.raises(KernelError, match='x, y'):
            kernel.start()
