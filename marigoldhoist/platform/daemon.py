"""Compose and run the gateway deployment on the platform."""

import asyncio
import pathlib
import signal
from typing import Final

from marigoldhoist import __version__
from marigoldhoist.components.canary.const import COMPONENT as CANARY
from marigoldhoist.components.canary.service import CanaryService
from marigoldhoist.components.configuration.const import (
    COMPONENT as CONFIGURATION,
)
from marigoldhoist.components.configuration.service import ConfigurationService
from marigoldhoist.components.directory.const import COMPONENT as DIRECTORY
from marigoldhoist.components.directory.service import DirectoryService
from marigoldhoist.components.feeds.const import COMPONENT as FEEDS
from marigoldhoist.components.feeds.feed import FeedPlan
from marigoldhoist.components.feeds.models import Topic
from marigoldhoist.components.feeds.service import FeedService
from marigoldhoist.components.gateway.const import COMPONENT as GATEWAY_NAME
from marigoldhoist.components.gateway.service import GatewayService
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.errors import SettingsError
from marigoldhoist.core.events import configure_logs, emit
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.settings import load_settings
from marigoldhoist.platform.dialect import PlatformDialect
from marigoldhoist.platform.events import (
    DAEMON_STARTED,
    DAEMON_STOPPED,
    SETTINGS_REJECTED,
    SETTINGS_RELOADED,
)
from marigoldhoist.platform.records import status_record
from marigoldhoist.platform.settings import StoreSettings
from marigoldhoist.platform.store import PlatformStore
from marigoldhoist.platform.translators import (
    OperatorTopic,
    ReplicaTopic,
    StatusTopic,
)

# A read of the operator's topic is answered at once where there is news; its
# wait bounds how old the proof of a key gets.
OPERATOR_PLAN: Final = FeedPlan(Topic.OPERATOR, wait_s=1.5)
# Replicas write every second or so, and a leaving one must get no work for
# long: reads follow at this pace.
REPLICAS_PLAN: Final = FeedPlan(Topic.REPLICAS, wait_s=1.0, pause_s=0.6)


class Daemon:
    """One process of the gateway deployment."""

    def __init__(self, path: pathlib.Path) -> None:
        load_components(GATEWAY)
        self._path = path
        self._settings = load_settings(path)
        daemon = self._settings.section(DaemonSettings)
        configure_logs(daemon.log_level, daemon.host)
        self._kernel = Kernel(self._settings, GATEWAY)
        self._told_to_stop = asyncio.Event()

    async def run(self) -> None:
        """Serve until told to stop, then stop without cuts."""
        emit(DAEMON_STARTED, version=__version__, settings=str(self._path))
        loop = asyncio.get_running_loop()
        for told in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(told, self._told_to_stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        kernel = self._kernel
        kernel.start()
        self._attach()
        gateway = kernel.find(GATEWAY_NAME, GatewayService)
        await gateway.listen()
        await self._told_to_stop.wait()
        await gateway.stop_gracefully()
        kernel.stop()
        emit(DAEMON_STOPPED)

    def _attach(self) -> None:
        """Put the platform's translations where the product needs them."""
        kernel = self._kernel
        feeds = kernel.find(FEEDS, FeedService)
        canary = kernel.find(CANARY, CanaryService)
        directory = kernel.find(DIRECTORY, DirectoryService)
        configuration = kernel.find(CONFIGURATION, ConfigurationService)
        store = self._settings.section(StoreSettings)
        feeds.attach(PlatformStore(store.address))
        canary.attach(StatusTopic(canary).tell, status_record)
        kernel.find(GATEWAY_NAME, GatewayService).attach(PlatformDialect())
        operator = OperatorTopic(configuration, canary)
        feeds.follow(OPERATOR_PLAN, operator.tell)
        feeds.follow(REPLICAS_PLAN, ReplicaTopic(directory, feeds).tell)

    def _reload(self) -> None:
        """Read the settings again; they are applied at the next start."""
        try:
            load_settings(self._path)
        except SettingsError as error:
            emit(SETTINGS_REJECTED, error=str(error))
            return
        emit(SETTINGS_RELOADED, settings=str(self._path))
