"""Versions of the code that are measured side by side."""

import subprocess
from collections.abc import Generator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

GIT_SECONDS: Final = 60


@dataclass(frozen=True, slots=True)
class CodeVersion:
    """A directory with the code, and its name in the report."""

    label: str
    root: Path


def run_git(root: Path, *arguments: str) -> None:
    """Run a git command in a checkout.

    Raises:
        subprocess.SubprocessError: If it fails.
    """
    subprocess.run(
        ('git', '-C', str(root), *arguments),
        check=True,
        capture_output=True,
        timeout=GIT_SECONDS,
    )


@contextmanager
def checked_out(
    root: Path,
    revision: str,
    directory: Path,
) -> Generator[CodeVersion, None, None]:
    """Check a revision out below `directory` and remove it afterwards."""
    target = directory / 'before'
    run_git(root, 'worktree', 'add', '--detach', str(target), revision)
    try:
        yield CodeVersion(revision, target)
    finally:
        run_git(root, 'worktree', 'remove', '--force', str(target))
