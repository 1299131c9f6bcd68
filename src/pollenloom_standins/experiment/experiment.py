"""Base class of the experiments."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from pathlib import Path
from typing import ClassVar

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival_recorder import ArrivalRecorder
from pollenloom_standins.experiment.experiment_plan import (
    Variant,
    experiment_plan,
)
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.fleet_plan import FleetPlan


class Experiment(ABC):
    """What is compared and what happens during the load.

    Attributes:
        name: Name for commands, files and tables.
        seconds: Length of the load.
        quick_seconds: Length of the load of a short run.
        load: Factor on the load of all accounts.
    """

    name: ClassVar[str]
    seconds: ClassVar[float] = 20
    quick_seconds: ClassVar[float] = 10
    load: ClassVar[float] = 1

    @abstractmethod
    def variants(self) -> tuple[Variant, ...]:
        """Return what is compared."""

    @abstractmethod
    async def act(self, context: RunContext) -> None:
        """Change the fleet during the load."""

    @abstractmethod
    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return figures that only this experiment has."""

    def recorder(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> ArrivalRecorder:
        """Return what makes the arrivals."""
        return ArrivalRecorder(workload, shares, seconds, self.load)

    def plan(
        self,
        workload: Workload,
        variant: Variant,
        examples: Path,
    ) -> FleetPlan:
        """Return the fleet."""
        return experiment_plan(workload, variant, examples)
