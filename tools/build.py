"""Build the one executable file; the same sources give the same bytes.

Run it as `python -m tools.build FILE`. It copies the packages that
requirements/runtime.txt locks from this environment and fetches nothing.
"""

import importlib.metadata
import os
import pathlib
import shutil
import sys
import tempfile

from shiv.cli import main as shiv

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOCK = ROOT / 'requirements' / 'runtime.txt'
PACKAGE = 'marigoldhoist'
ENTRY_POINT = 'marigoldhoist.cli:main'
INTERPRETER = '/usr/bin/env python3.11'
# The earliest time that a zip file holds, so that builds don't differ by it.
EPOCH_S = '315532800'
LEFT_OUT_SUFFIXES = ('.pyc', '.pyi', '.proto', '.c', '.h')
FILE_MODE = 0o644


class BuildError(Exception):
    """The environment does not hold what the lock file names."""


def main(target: str) -> None:
    """Build the file at the path given."""
    os.environ['SOURCE_DATE_EPOCH'] = EPOCH_S
    output = pathlib.Path(target).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        staged = pathlib.Path(folder)
        for line in LOCK.read_text(encoding='utf-8').split():
            stage_distribution(line, staged)
        stage_package(staged)
        shiv(
            (
                '--site-packages',
                folder,
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


def stage_distribution(line: str, staged: pathlib.Path) -> None:
    """Copy one locked distribution; BuildError if its version differs."""
    name, _, version = line.partition('==')
    found = importlib.metadata.distribution(name)
    if found.version != version:
        raise BuildError(f'{name} {found.version} is installed, not {version}')
    for path in found.files or ():
        if '..' not in path.parts and path.name != 'RECORD':
            stage_file(
                pathlib.Path(str(path.locate())), staged / pathlib.Path(path)
            )


def stage_package(staged: pathlib.Path) -> None:
    """Copy this project's package."""
    for path in sorted((ROOT / PACKAGE).rglob('*')):
        if path.is_file():
            stage_file(path, staged / path.relative_to(ROOT))


def stage_file(source: pathlib.Path, target: pathlib.Path) -> None:
    """Copy a file that the daemon may need, with a fixed mode."""
    if source.suffix in LEFT_OUT_SUFFIXES or not source.exists():
        return
    target.parent.mkdir(parents=True, exist_ok=True)
    shutil.copyfile(source, target)
    target.chmod(FILE_MODE)


if __name__ == '__main__':
    main(*sys.argv[1:])
