"""Faults of a version of a service."""

import random
from dataclasses import dataclass
from enum import Enum, unique


@unique
class BadKind(Enum):
    """How a version handles a request badly."""

    NONE = 'none'
    FAIL = 'fail'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class VersionFaults:
    """Which requests a version handles badly; all conditions must hold.

    Attributes:
        kind: How it handles them badly.
        after: Requests that it handles correctly first.
        route: Text that the path must contain; empty for all paths.
        above_load: Requests in progress above which the fault occurs.
        fraction: Fraction of the matching requests that are affected.
        slow_factor: Factor on the time of a slow request.
    """

    kind: BadKind = BadKind.NONE
    after: int = 0
    route: str = ''
    above_load: int = 0
    fraction: float = 1
    slow_factor: float = 5


class VersionBehaviour:
    """Decides for each request whether the version handles it badly."""

    def __init__(self, faults: VersionFaults, seed: int = 1) -> None:
        self.faults = faults
        self.handled = 0
        self.random = random.Random(seed)

    def next_fault(self, path: str, running: int) -> BadKind:
        """Return how the version handles the next request.

        Args:
            path: Path of the request.
            running: Requests in progress, including this one.
        """
        self.handled += 1
        faults = self.faults
        is_affected = (
            self.handled > faults.after
            and faults.route in path
            and running > faults.above_load
            and self.random.random() < faults.fraction
        )
        return faults.kind if is_affected else BadKind.NONE
