"""Versions of the code that are measured in the same run."""

import subprocess
from collections.abc import Generator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Final

GIT_TIMEOUT_SECONDS: Final = 60


@dataclass(frozen=True, slots=True)
class CodeVersion:
    """A version of the code.

    Attributes:
        label: Name in the report.
        root: Root directory of the checkout.
    """

    label: str
    root: Path


def run_git(root: Path, *arguments: str) -> None:
    """Run a git command in a checkout.

    Raises:
        subprocess.SubprocessError: If it fails or takes longer than
            `GIT_TIMEOUT_SECONDS`.
    """
    subprocess.run(
        ('git', '-C', str(root), *arguments),
        check=True,
        capture_output=True,
        timeout=GIT_TIMEOUT_SECONDS,
    )


@contextmanager
def checked_out(
    root: Path,
    revision: str,
    directory: Path,
) -> Generator[CodeVersion, None, None]:
    """Check out a revision as a git worktree and remove it on exit.

    Args:
        root: Checkout whose repository has the revision.
        revision: Anything that git resolves to a commit.
        directory: Where the worktree is created, as `before`.
    """
    target = directory / 'before'
    run_git(root, 'worktree', 'add', '--detach', str(target), revision)
    try:
        yield CodeVersion(revision, target)
    finally:
        run_git(root, 'worktree', 'remove', '--force', str(target))
