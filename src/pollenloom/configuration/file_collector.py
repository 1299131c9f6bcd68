"""Finds and reads the service files in directory trees."""

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from pollenloom.validation.file_problem import FileProblem
from pollenloom.validation.text_file import read_text

FILE_NAME = 'pollenloom.toml'


class CollectedFiles(NamedTuple):
    """Texts by file name, and the problems found while reading."""

    files: dict[str, str]
    problems: tuple[FileProblem, ...]


def collect_files(directories: Sequence[Path]) -> CollectedFiles:
    """Read all service files below the directories, except hidden ones.

    A file is named by its path relative to the parent of the given directory,
    so that the names do not depend on where an operator keeps the directory.
    """
    files: dict[str, str] = {}
    problems: list[FileProblem] = []
    for path, name in name_files(directories, problems).items():
        text, problem = read_text(path, name)
        if problem is None:
            files[name] = text
        else:
            problems.append(problem)
    return CollectedFiles(files, tuple(problems))


def name_files(
    directories: Sequence[Path],
    problems: list[FileProblem],
) -> dict[Path, str]:
    """Return the name of each file by its path.

    Adds a problem to `problems` for each directory without service files.
    """
    names: dict[Path, str] = {}
    for directory in directories:
        paths = list(find_files(directory))
        if not paths:
            expected = f'a directory with a {FILE_NAME} in or below it'
            problems.append(
                FileProblem(str(directory), '', expected, 'none'),
            )
        for path in paths:
            name = name_file(directory, path)
            # The full path distinguishes directories that have the same name.
            is_duplicate = name in names.values()
            names.setdefault(path, str(path) if is_duplicate else name)
    return names


def find_files(directory: Path) -> Iterator[Path]:
    """Return the resolved paths of the service files, in sorted order."""
    root = directory.resolve()
    for path in sorted(root.rglob(FILE_NAME)):
        parents = path.relative_to(root).parts[:-1]
        if not any(part.startswith('.') for part in parents):
            yield path


def name_file(directory: Path, path: Path) -> str:
    """Return the name by which the configuration identifies a file."""
    root = directory.resolve()
    return (Path(root.name) / path.relative_to(root)).as_posix()
