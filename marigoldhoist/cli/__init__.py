"""The command line."""

import sys

import fire

from marigoldhoist.cli.commands import Commands
from marigoldhoist.cli.const import EXIT_USAGE
from marigoldhoist.cli.errors import CommandError
from marigoldhoist.core.errors import SettingsError


def main() -> None:
    """Run the command that the arguments name."""
    try:
        fire.Fire(Commands, name='marigoldhoist')
    except SettingsError as error:
        sys.stderr.write(f'marigoldhoist: {error}\n')
        sys.exit(EXIT_USAGE)
    except CommandError as error:
        sys.stderr.write(f'marigoldhoist: {error}\n')
        sys.exit(error.exit_code)
