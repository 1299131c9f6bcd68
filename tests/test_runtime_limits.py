"""Tests of the checks of runtime limits."""

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


def test_child_process_and_shared_memory_are_detected() -> None:
    """Guards against checks that pass whatever a process uses.

    io_uring is not tested: the machine that runs the tests may not offer it.
    """
    process_id = os.getpid()
    before = len(shared_memory_segments(process_id))
    descriptor = os.memfd_create('segment')
    os.truncate(descriptor, mmap.PAGESIZE)
    segment = mmap.mmap(descriptor, mmap.PAGESIZE)
    assert len(shared_memory_segments(process_id)) == before + 1
    segment.close()
    os.close(descriptor)
    command = [sys.executable, '-c', 'input()']
    with subprocess.Popen(command, stdin=subprocess.PIPE) as child:
        assert child.pid in child_processes(process_id)
        with pytest.raises(AssertionError):
            assert_within_runtime_limits(process_id)
        child.communicate()
    assert child.pid not in child_processes(process_id)
