"""Base class of the faults that a schedule injects."""

from abc import ABC, abstractmethod
from typing import ClassVar

from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.round_environment import RoundEnvironment


class Fault(ABC):
    """A fault that is injected into a fleet and removed again.

    Attributes:
        seconds: Shortest and longest duration.
    """

    seconds: ClassVar[tuple[float, float]] = (1.0, 5.0)

    @abstractmethod
    async def choose(self, environment: RoundEnvironment) -> str | None:
        """Return the target; None if other faults act on all candidates."""

    @abstractmethod
    async def begin(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Inject the fault."""

    @abstractmethod
    async def end(
        self, environment: RoundEnvironment, record: FaultRecord
    ) -> None:
        """Remove the fault."""
