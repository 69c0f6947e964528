"""Errors of the command line."""

from marigoldhoist.cli.const import EXIT_USAGE
from marigoldhoist.core.errors import MarigoldhoistError


class CommandError(MarigoldhoistError):
    """A command failed; the exit code tells scripts how."""

    def __init__(self, message: str, exit_code: int = EXIT_USAGE) -> None:
        super().__init__(message)
        self.exit_code = exit_code
