"""Phases of a router process."""

from enum import Enum, unique


@unique
class KernelPhase(Enum):
    """Phase of the kernel's life cycle; ready only if RUNNING."""

    STARTING = 'starting'
    RUNNING = 'running'
    DRAINING = 'draining'
    STOPPED = 'stopped'
