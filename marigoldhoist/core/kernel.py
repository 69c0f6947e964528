"""The kernel: sets up, starts, looks up and stops component services."""

import dataclasses
import importlib
import pkgutil
import threading
from collections.abc import Callable, Iterator
from typing import Protocol, TypeVar

import msgspec

from marigoldhoist.core.const import THREAD_JOIN_TIMEOUT_S
from marigoldhoist.core.deployments import GATEWAY, GATEWAY_PACKAGES, TABLE
from marigoldhoist.core.errors import KernelError
from marigoldhoist.core.events import declare_event, emit
from marigoldhoist.core.metrics import Metrics
from marigoldhoist.core.settings import Settings

SERVICE_STARTED = declare_event(
    1001, 'service_started', 'debug', 'A component was set up and started.'
)
SERVICE_STOPPED = declare_event(
    1002, 'service_stopped', 'debug', 'A component was stopped.'
)
TASK_FAILED = declare_event(
    1003, 'task_failed', 'error', 'A background task ended with an exception.'
)

ServiceT = TypeVar('ServiceT')


class Service(Protocol):
    """Life cycle hooks that the kernel calls on a component's service."""

    def start(self) -> None:
        """Start background work; the services it needs are already started."""

    def ready(self) -> None:
        """Start work that requires all components to be started."""

    def drain(self) -> None:
        """Refuse new work and finish work in flight."""

    def hand_over(self) -> None:
        """Persist state that must outlive this daemon, or send it to peers."""

    def stop(self) -> None:
        """Stop background work."""

    def status(self) -> msgspec.Struct | None:
        """Return the status to show to operators, or None."""


class BaseService:
    """Base class of services; each hook does nothing by default."""

    def start(self) -> None:
        """Start background work."""

    def ready(self) -> None:
        """Start work that requires all components to be started."""

    def drain(self) -> None:
        """Refuse new work and finish work in flight."""

    def hand_over(self) -> None:
        """Persist state that must outlive this daemon, or send it to peers."""

    def stop(self) -> None:
        """Stop background work."""

    def status(self) -> msgspec.Struct | None:
        """Return the status to show to operators, or None."""


SetUpFunction = Callable[['Kernel'], Service]


@dataclasses.dataclass(frozen=True, slots=True)
class Component:
    """A component's name, dependencies, set-up function and deployment."""

    name: str
    needs: tuple[str, ...]
    set_up: SetUpFunction
    deployment: str = TABLE


components_by_name: dict[str, Component] = {}


def component(
    name: str, needs: tuple[str, ...] = (), deployment: str = TABLE
) -> Callable[[SetUpFunction], SetUpFunction]:
    """Return a decorator that registers a component's set-up function."""

    def register(set_up: SetUpFunction) -> SetUpFunction:
        components_by_name[name] = Component(name, needs, set_up, deployment)
        return set_up

    return register


def load_components(deployment: str = TABLE) -> None:
    """Import the components of a deployment, which registers them."""
    package = importlib.import_module('marigoldhoist.components')
    for module in pkgutil.iter_modules(package.__path__):
        is_gateway_package = module.name in GATEWAY_PACKAGES
        if is_gateway_package == (deployment == GATEWAY):
            importlib.import_module(f'{package.__name__}.{module.name}')


class Kernel:
    """Owns the settings, metrics, services and background threads."""

    def __init__(self, settings: Settings, deployment: str = TABLE) -> None:
        self.settings = settings
        self.deployment = deployment
        self.metrics = Metrics()
        self.stopping = threading.Event()
        self.draining = threading.Event()
        self.services_by_name: dict[str, Service] = {}
        self._threads: list[threading.Thread] = []

    def find(self, name: str, kind: type[ServiceT]) -> ServiceT:
        """Return the service of that name and type, or raise KernelError."""
        service = self.services_by_name.get(name)
        if not isinstance(service, kind):
            raise KernelError(f'no service {name!r} of type {kind.__name__}')
        return service

    def spawn(self, name: str, work: Callable[[], None]) -> threading.Thread:
        """Run a function on a new background thread and return the thread."""

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
        """Set up and start the components in dependency order."""
        selected = {
            name: registered
            for name, registered in components_by_name.items()
            if registered.deployment == self.deployment
        }
        for registered in _in_dependency_order(selected):
            service = registered.set_up(self)
            self.services_by_name[registered.name] = service
            service.start()
            emit(SERVICE_STARTED, component=registered.name)
        for started in self.services_by_name.values():
            started.ready()

    def stop(self) -> None:
        """Drain, hand over, then stop services in reverse start order.

        All services drain before any of them hands over its state, so that
        the state includes the results of the last requests.
        """
        self.draining.set()
        services = list(reversed(self.services_by_name.items()))
        for _, draining in services:
            draining.drain()
        for _, drained in services:
            drained.hand_over()
        self.stopping.set()
        for name, stopping in services:
            stopping.stop()
            emit(SERVICE_STOPPED, component=name)
        for thread in self._threads:
            thread.join(THREAD_JOIN_TIMEOUT_S)


def _in_dependency_order(
    by_name: dict[str, Component],
) -> Iterator[Component]:
    done: set[str] = set()
    while len(done) < len(by_name):
        ready = [
            candidate
            for name, candidate in sorted(by_name.items())
            if name not in done and done.issuperset(candidate.needs)
        ]
        if not ready:
            unresolved = ', '.join(sorted(set(by_name) - done))
            raise KernelError(
                f'circular or unknown dependency of: {unresolved}'
            )
        for candidate in ready:
            done.add(candidate.name)
            yield candidate
