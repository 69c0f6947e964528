"""The micro-kernel: start, find and stop services."""

import dataclasses
import importlib
import pkgutil
import threading
from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec

from marigoldhoist.core.const import JOIN_TIMEOUT_S
from marigoldhoist.core.deployments import GATEWAY, GATEWAY_FOLDERS, TABLE
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.events import declare_event, emit
from marigoldhoist.core.metrics import Metrics
from marigoldhoist.core.settings import Settings

SERVICE_STARTED = declare_event(
    1001, 'service_started', 'debug', 'A component is set up and running.'
)
SERVICE_STOPPED = declare_event(
    1002, 'service_stopped', 'debug', 'A component has stopped.'
)
TASK_FAILED = declare_event(
    1003, 'task_failed', 'error', 'A background task ended with an error.'
)

FoundT = TypeVar('FoundT')


class Service(Protocol):
    """What the kernel asks of a component's service."""

    def start(self) -> None:
        """Begin background work; every needed service is running."""

    def ready(self) -> None:
        """Begin work that needs every component to be started."""

    def drain(self) -> None:
        """Finish what is in flight; new work is refused."""

    def hand_over(self) -> None:
        """Give to others what must outlive this daemon."""

    def stop(self) -> None:
        """End background work."""

    def status(self) -> msgspec.Struct | None:
        """Return what operators see of this service, if anything."""


class BaseService:
    """A service with nothing to start, drain or stop."""

    def start(self) -> None:
        """Begin background work."""

    def ready(self) -> None:
        """Begin work that needs every component to be started."""

    def drain(self) -> None:
        """Finish what is in flight."""

    def hand_over(self) -> None:
        """Give to others what must outlive this daemon."""

    def stop(self) -> None:
        """End background work."""

    def status(self) -> msgspec.Struct | None:
        """Return what operators see of this service, if anything."""


SetUp = Callable[['Kernel'], Service]


@dataclasses.dataclass(frozen=True, slots=True)
class Component:
    """A named set-up function, the services it needs, and its deployment."""

    name: str
    needs: tuple[str, ...]
    set_up: SetUp
    deployment: str = TABLE


components_by_name: dict[str, Component] = {}


def component(
    name: str, needs: tuple[str, ...] = (), deployment: str = TABLE
) -> Callable[[SetUp], SetUp]:
    """Register a set-up function as the component of that name."""

    def register(set_up: SetUp) -> SetUp:
        components_by_name[name] = Component(name, needs, set_up, deployment)
        return set_up

    return register


def load_components(deployment: str = TABLE) -> None:
    """Import the folders of marigoldhoist.components of that deployment."""
    package = importlib.import_module('marigoldhoist.components')
    for module in pkgutil.iter_modules(package.__path__):
        is_for_gateway = module.name in GATEWAY_FOLDERS
        if is_for_gateway == (deployment == GATEWAY):
            importlib.import_module(f'{package.__name__}.{module.name}')


class Kernel:
    """Holds the settings, the services by name and the background tasks."""

    def __init__(self, settings: Settings, deployment: str = TABLE) -> None:
        self.settings = settings
        self.deployment = deployment
        self.metrics = Metrics()
        self.stopping = threading.Event()
        self.draining = threading.Event()
        self.services_by_name: dict[str, Service] = {}
        self._threads: list[threading.Thread] = []

    def find(self, name: str, kind: type[FoundT]) -> FoundT:
        """Return the service of that name; KernelError if there is none."""
        service = self.services_by_name.get(name)
        if not isinstance(service, kind):
            raise KernelError(f'no service {name!r} of type {kind.__name__}')
        return service

    def spawn(self, name: str, work: Callable[[], None]) -> threading.Thread:
        """Run work on a thread of its own until it returns."""

        def run() -> None:
            try:
                work()
            except Exception as error:
                emit(TASK_FAILED, task=name, error=repr(error))
                raise

        thread = threading.Thread(target=run, name=name, daemon=True)
        self._threads.append(thread)
        thread.start()
        return thread

    def start(self) -> None:
        """Set up and start each component after those it needs."""
        parts = {
            name: part
            for name, part in components_by_name.items()
            if part.deployment == self.deployment
        }
        for part in _in_start_order(parts):
            service = part.set_up(self)
            self.services_by_name[part.name] = service
            service.start()
            emit(SERVICE_STARTED, component=part.name)
        for started in self.services_by_name.values():
            started.ready()

    def stop(self) -> None:
        """Drain, hand over, then stop, in the reverse of the start order.

        Nothing is handed over before every service has drained, so that what
        the last requests leave behind goes along.
        """
        self.draining.set()
        services = list(reversed(self.services_by_name.items()))
        for _, draining in services:
            draining.drain()
        for _, leaving in services:
            leaving.hand_over()
        self.stopping.set()
        for name, stopping in services:
            stopping.stop()
            emit(SERVICE_STOPPED, component=name)
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)


def _in_start_order(parts: dict[str, Component]) -> Iterator[Component]:
    done: set[str] = set()
    while len(done) < len(parts):
        ready = [
            part
            for name, part in sorted(parts.items())
            if name not in done and done.issuperset(part.needs)
        ]
        if not ready:
            waiting = ', '.join(sorted(set(parts) - done))
            raise KernelError(f'components need one another: {waiting}')
        for part in ready:
            done.add(part.name)
            yield part
