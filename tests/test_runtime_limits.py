"""Failures of the checks over `/proc`."""

import mmap
import os
import subprocess
import sys

import pytest

from tests.runtime_limits import (
    assert_within_runtime_limits,
    child_processes,
    shared_memory_segments,
)


def test_child_and_shared_memory_are_found() -> None:
    """Guards against checks that pass whatever a process does.

    io_uring is not tried: the environment of the tests may not have it.
    """
    own = os.getpid()
    before = len(shared_memory_segments(own))
    descriptor = os.memfd_create('segment')
    os.truncate(descriptor, mmap.PAGESIZE)
    segment = mmap.mmap(descriptor, mmap.PAGESIZE)
    assert len(shared_memory_segments(own)) == before + 1
    segment.close()
    os.close(descriptor)
    command = [sys.executable, '-c', 'input()']
    with subprocess.Popen(command, stdin=subprocess.PIPE) as child:
        assert child.pid in child_processes(own)
        with pytest.raises(AssertionError):
            assert_within_runtime_limits(own)
        child.communicate()
    assert child.pid not in child_processes(own)
