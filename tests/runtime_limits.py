"""Checks of what a router process must not use, read from `/proc`."""

from pathlib import Path
from typing import Final

SHARED_MEMORY_PATHS: Final = ('/dev/shm', '/SYSV', '/memfd:')


def child_processes(process_id: int) -> list[int]:
    """Return the ids of all child processes of all threads."""
    children = Path(f'/proc/{process_id}/task').glob('*/children')
    return [
        int(child)
        for listing in children
        for child in listing.read_text(encoding='ascii').split()
    ]


def io_uring_descriptors(process_id: int) -> list[str]:
    """Return the file descriptors that are io_uring instances."""
    rings = []
    for descriptor in Path(f'/proc/{process_id}/fd').iterdir():
        try:
            target = str(descriptor.readlink())
        except FileNotFoundError:
            continue  # Closed after the directory was listed.
        if 'io_uring' in target:
            rings.append(f'{descriptor.name} -> {target}')
    return rings


def shared_memory_segments(process_id: int) -> list[str]:
    """Return the mappings of POSIX or System V shared memory."""
    maps = Path(f'/proc/{process_id}/maps').read_text(encoding='utf-8')
    return [
        line
        for line in maps.splitlines()
        if any(path in line for path in SHARED_MEMORY_PATHS)
    ]


def assert_within_runtime_limits(process_id: int) -> None:
    """Fail if a process has a child, an io_uring or shared memory."""
    assert not child_processes(process_id)
    assert not io_uring_descriptors(process_id)
    assert not shared_memory_segments(process_id)
