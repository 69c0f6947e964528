"""The command line interface."""

import sys

import fire

from marigoldhoist.cli.commands import Commands
from marigoldhoist.cli.const import EXIT_USAGE
from marigoldhoist.cli.errors import CommandError
from marigoldhoist.core.errors import SettingsError


def main() -> None:
    """Run the command given by the arguments; exit with its code."""
    try:
        fire.Fire(Commands, name='marigoldhoist')
    except SettingsError as error:
        sys.stderr.write(f'marigoldhoist: {error}\n')
        sys.exit(EXIT_USAGE)
    except CommandError as error:
        sys.stderr.write(f'marigoldhoist: {error}\n')
        sys.exit(error.exit_code)
