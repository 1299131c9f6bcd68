"""What a soak runs: one kind of fleet, one round at a time."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class SoakVerdict:
    """What a round showed.

    Attributes:
        summary: Faults and counts in one line.
        checked: Number of observations by promise.
        violations: What broke each promise.
        troubles: What did not go as the schedule wanted.
    """

    summary: str
    checked: dict[str, int] = field(default_factory=dict)
    violations: dict[str, list[str]] = field(default_factory=dict)
    troubles: list[str] = field(default_factory=list)


class SoakFleet(ABC):
    """A kind of fleet with its faults and promises.

    Attributes:
        promises: Names of the promises and what must hold.
    """

    promises: dict[str, str]

    @abstractmethod
    async def run(self, seed: int, directory: Path) -> SoakVerdict:
        """Run a round with a fresh fleet.

        A broken history stays in the directory.

        Raises:
            ProcessError: If the fleet did not start.
        """
