"""Compose and run the components of the gateway deployment."""

import asyncio
import pathlib
import signal
import sys

from marigoldhoist import __version__
from marigoldhoist.components.gateway.const import COMPONENT as GATEWAY_NAME
from marigoldhoist.components.gateway.service import GatewayService
from marigoldhoist.components.mirrors.service import find_mirrors
from marigoldhoist.core.clock import SYSTEM_CLOCK
from marigoldhoist.core.deployments import GATEWAY
from marigoldhoist.core.errors import SettingsError
from marigoldhoist.core.events import configure_logs, emit
from marigoldhoist.core.identity import DaemonSettings
from marigoldhoist.core.kernel import Kernel, load_components
from marigoldhoist.core.line_sink import LineSink
from marigoldhoist.core.settings import load_settings
from marigoldhoist.platform.attach import attach_platform
from marigoldhoist.platform.events import (
    DAEMON_STARTED,
    DAEMON_STOPPED,
    SETTINGS_REJECTED,
    SETTINGS_RELOADED,
)


class Daemon:
    """Run one process of the gateway deployment from start to shutdown."""

    def __init__(self, path: pathlib.Path) -> None:
        load_components(GATEWAY)
        self._path = path
        self._settings = load_settings(path)
        daemon = self._settings.section(DaemonSettings)
        configure_logs(
            daemon.log_level, daemon.host, LineSink(sys.stdout.fileno())
        )
        self._kernel = Kernel(self._settings, GATEWAY)
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        started_s = SYSTEM_CLOCK.boottime_s()
        emit(DAEMON_STARTED, version=__version__, settings=str(self._path))
        loop = asyncio.get_running_loop()
        for stop_signal in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(stop_signal, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        kernel = self._kernel
        kernel.start()
        attach_platform(kernel)
        gateway = kernel.find(GATEWAY_NAME, GatewayService)
        await gateway.listen()
        await find_mirrors(kernel).listen()
        await self._stop_requested.wait()
        await gateway.stop_gracefully()
        kernel.stop()
        ran_s = SYSTEM_CLOCK.boottime_s() - started_s
        emit(DAEMON_STOPPED, ran_s=round(ran_s, 3))

    def _reload(self) -> None:
        """Validate the settings file; changes take effect at the next start."""
        try:
            load_settings(self._path)
        except SettingsError as error:
            emit(SETTINGS_REJECTED, error=str(error))
            return
        emit(SETTINGS_RELOADED, settings=str(self._path))
