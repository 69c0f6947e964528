"""Build the executable file reproducibly.

Run it as `python -m tools.build FILE`. The same sources give the same bytes.
The locked packages of requirements/runtime.txt are copied from the current
environment; nothing is downloaded.
"""

import importlib.metadata
import os
import pathlib
import shutil
import sys
import tempfile

from shiv.cli import main as shiv

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCK_FILE = ROOT / 'requirements' / 'runtime.txt'
PACKAGE = 'marigoldhoist'
ENTRY_POINT = 'marigoldhoist.cli:main'
INTERPRETER = '/usr/bin/env python3.11'
# The earliest timestamp that a zip file can hold. A fixed one keeps the build
# reproducible.
SOURCE_DATE_EPOCH_S = '315532800'
EXCLUDED_SUFFIXES = ('.pyc', '.pyi', '.proto', '.c', '.h')
FILE_MODE = 0o644


class BuildError(Exception):
    """The environment does not match the lock file."""


def main(target: str) -> None:
    """Build the executable file at the given path."""
    os.environ['SOURCE_DATE_EPOCH'] = SOURCE_DATE_EPOCH_S
    output = pathlib.Path(target).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as staging_folder:
        staged = pathlib.Path(staging_folder)
        for requirement in LOCK_FILE.read_text(encoding='utf-8').split():
            stage_distribution(requirement, staged)
        stage_package(staged)
        shiv(
            (
                '--site-packages',
                staging_folder,
                '--entry-point',
                ENTRY_POINT,
                '--python',
                INTERPRETER,
                '--output-file',
                str(output),
                '--compressed',
                '--reproducible',
            ),
            standalone_mode=False,
        )


def stage_distribution(requirement: str, staged: pathlib.Path) -> None:
    """Copy the files of a locked distribution.

    Raise BuildError if another version is installed.
    """
    name, _, version = requirement.partition('==')
    distribution = importlib.metadata.distribution(name)
    if distribution.version != version:
        raise BuildError(
            f'{name} {distribution.version} is installed, not {version}'
        )
    for path in distribution.files or ():
        if '..' not in path.parts and path.name != 'RECORD':
            stage_file(
                pathlib.Path(str(path.locate())), staged / pathlib.Path(path)
            )


def stage_package(staged: pathlib.Path) -> None:
    """Copy the package of this project."""
    for path in sorted((ROOT / PACKAGE).rglob('*')):
        if path.is_file():
            stage_file(path, staged / path.relative_to(ROOT))


def stage_file(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy a file with a fixed mode unless its type is excluded."""
    if source.suffix in EXCLUDED_SUFFIXES or not source.exists():
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, target)
    target.chmod(FILE_MODE)


if __name__ == '__main__':
    main(*sys.argv[1:])
