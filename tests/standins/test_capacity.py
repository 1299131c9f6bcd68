"""Tests of the linear fit, the processor clock and revision checkouts."""

import os
import subprocess
import time
from pathlib import Path

import pytest

from pollenloom_standins.capacity.code_version import checked_out, run_git
from pollenloom_standins.capacity.linear_fit import LinearFit
from pollenloom_standins.capacity.process_time import processor_seconds


@pytest.fixture
def repository(tmp_path: Path) -> Path:
    """A repository with one commit."""
    root = tmp_path / 'repository'
    subprocess.run(['git', 'init', '--quiet', str(root)], check=True)
    (root / 'code.txt').write_text('before')
    run_git(root, 'add', '.')
    author = ('-c', 'user.name=t', '-c', 'user.email=t@localhost')
    run_git(root, *author, 'commit', '--message', 'first')
    return root


def test_fit_separates_base_and_slope() -> None:
    """Guards against a fit that counts the base cost in the slope."""
    fit = LinearFit.from_points([(10, 25), (20, 45), (40, 85)])
    assert fit.slope == pytest.approx(2)
    assert fit.base == pytest.approx(5)


def test_processor_time_is_that_of_the_process() -> None:
    """Guards against measuring wall time or another process.

    An incorrectly computed clock id causes either.
    """
    before = time.process_time()
    measured = processor_seconds(os.getpid())
    assert before <= measured <= time.process_time()


def test_earlier_version_is_removed(repository: Path, tmp_path: Path) -> None:
    """Guards against a checkout that is left behind.

    That happens if an error in the measurement skips the clean-up. The
    working tree must keep its changes meanwhile.
    """
    (repository / 'code.txt').write_text('after')
    seen: list[str] = []
    with pytest.raises(ZeroDivisionError):
        fail_after_reading(repository, tmp_path, seen)
    assert seen == ['before']
    assert not (tmp_path / 'before').exists()
    assert (repository / 'code.txt').read_text() == 'after'


def fail_after_reading(root: Path, directory: Path, seen: list[str]) -> None:
    with checked_out(root, 'HEAD', directory) as version:
        seen.append((version.root / 'code.txt').read_text())
        raise ZeroDivisionError
