"""Faults that belong to a version of a service."""

import random
from dataclasses import dataclass
from enum import Enum, unique


@unique
class BadKind(Enum):
    """How a version goes wrong."""

    NONE = 'none'
    FAIL = 'fail'
    SLOW = 'slow'


@dataclass(frozen=True, slots=True)
class VersionFaults:
    """When a version goes wrong; all conditions must hold.

    Attributes:
        kind: How it goes wrong.
        after: Requests that it handles well first.
        route: Text that the path must contain; empty for all paths.
        above_load: Requests in progress above which it goes wrong.
        fraction: Fraction of such requests that go wrong.
        slow_factor: Factor on the time of a slow request.
    """

    kind: BadKind = BadKind.NONE
    after: int = 0
    route: str = ''
    above_load: int = 0
    fraction: float = 1
    slow_factor: float = 5


class VersionBehaviour:
    """Tells for each request whether the version handles it badly."""

    def __init__(self, faults: VersionFaults, seed: int = 1) -> None:
        self.faults = faults
        self.handled = 0
        self.random = random.Random(seed)

    def judge(self, path: str, running: int) -> BadKind:
        """Decide on one request; `running` counts it as well."""
        self.handled += 1
        faults = self.faults
        hit = (
            self.handled > faults.after
            and faults.route in path
            and running > faults.above_load
            and self.random.random() < faults.fraction
        )
        return faults.kind if hit else BadKind.NONE
