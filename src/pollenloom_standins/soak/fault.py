"""Base class of the faults of a schedule."""

from abc import ABC, abstractmethod
from typing import ClassVar

from pollenloom_standins.history.fault_record import FaultRecord
from pollenloom_standins.soak.ground import Ground


class Fault(ABC):
    """Something that happens to a fleet and ends again.

    Attributes:
        seconds: Shortest and longest time that it lasts.
    """

    seconds: ClassVar[tuple[float, float]] = (1.0, 5.0)

    @abstractmethod
    async def choose(self, environment: Ground) -> str | None:
        """Return what it happens to; none if nothing is free."""

    @abstractmethod
    async def begin(self, environment: Ground, record: FaultRecord) -> None:
        """Put it in force."""

    @abstractmethod
    async def end(self, environment: Ground, record: FaultRecord) -> None:
        """End it."""
