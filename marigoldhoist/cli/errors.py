"""Exceptions of the command line interface."""

from marigoldhoist.cli.const import EXIT_USAGE
from marigoldhoist.core.errors import MarigoldhoistError


class CommandError(MarigoldhoistError):
    """A command failed; `exit_code` is the exit code of the process."""

    def __init__(self, message: str, exit_code: int = EXIT_USAGE) -> None:
        super().__init__(message)
        self.exit_code = exit_code
