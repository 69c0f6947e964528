"""Entry point: run one daemon of the gateway deployment."""

import asyncio
import os
import pathlib
import sys

from marigoldhoist.core.errors import SettingsError
from marigoldhoist.platform.const import SETTINGS_PATH_VARIABLE
from marigoldhoist.platform.daemon import Daemon

EXIT_USAGE = 2


async def _serve(path: pathlib.Path) -> None:
    await Daemon(path).run()


def main() -> None:
    """Run the daemon with the settings file named by the environment."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, '')
    try:
        asyncio.run(_serve(pathlib.Path(path)))
    except SettingsError as error:
        sys.stderr.write(f'marigoldhoist: {error}\n')
        sys.exit(EXIT_USAGE)


main()
