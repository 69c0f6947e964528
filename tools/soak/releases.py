"""Earlier releases of the product, to run beside this one."""

import pathlib
import subprocess
from typing import Final

from marigoldhoist.core.errors import MarigoldhoistError

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
RELEASES: Final = ROOT / 'target' / 'releases'
# The last landing, which an upgrade begins with.
LAST_LANDING: Final = 'c6bf1603f4bbe605d5b981cd6ea6ed51f061cc4f'
REQUIREMENTS: Final = 'requirements/platform.txt'


class ReleaseError(MarigoldhoistError):
    """An earlier release cannot be run."""


def unpack_release(commit: str = LAST_LANDING) -> pathlib.Path:
    """Return the root of a release, unpacked from the history.

    Raise ReleaseError if the history does not reach back to it, or if it needs
    other libraries than this one.
    """
    folder = RELEASES / commit
    if not folder.exists():
        archive = _git('archive', commit, 'marigoldhoist', REQUIREMENTS)
        unpacking = folder.with_suffix('.part')
        unpacking.mkdir(parents=True, exist_ok=True)
        subprocess.run(
            ['tar', '-x', '-C', str(unpacking)], input=archive, check=True
        )
        unpacking.rename(folder)
    needed = (folder / REQUIREMENTS).read_bytes()
    if needed != (ROOT / REQUIREMENTS).read_bytes():
        raise ReleaseError(f'release {commit} needs other libraries')
    return folder


def _git(*arguments: str) -> bytes:
    try:
        done = subprocess.run(
            ['git', '-C', str(ROOT), *arguments],
            check=True,
            capture_output=True,
        )
    except (OSError, subprocess.CalledProcessError) as error:
        raise ReleaseError(f'git {arguments[0]}: {error}') from error
    return done.stdout
