"""Base class of the experiments."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from pathlib import Path
from typing import ClassVar

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival_generator import ArrivalGenerator
from pollenloom_standins.experiment.experiment_plan import (
    Variant,
    experiment_plan,
)
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.fleet_plan import FleetPlan


class Experiment(ABC):
    """Defines the variants to compare and the changes during the load.

    Attributes:
        name: Name in commands, files and tables.
        seconds: Length of the load of a full run.
        quick_seconds: Length of the load of a quick run.
        load: Factor on the load of all accounts.
    """

    name: ClassVar[str]
    seconds: ClassVar[float] = 20
    quick_seconds: ClassVar[float] = 10
    load: ClassVar[float] = 1

    @abstractmethod
    def variants(self) -> tuple[Variant, ...]:
        """Return the variants to compare."""

    @abstractmethod
    async def change_fleet(self, context: RunContext) -> None:
        """Change the fleet while the load is replayed."""

    @abstractmethod
    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return the figures that are specific to this experiment, by name."""

    def arrival_generator(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> ArrivalGenerator:
        """Return the generator of the arrivals; `seconds` is their length."""
        return ArrivalGenerator(workload, shares, seconds, self.load)

    def plan(
        self,
        workload: Workload,
        variant: Variant,
        examples: Path,
    ) -> FleetPlan:
        """Return the plan of the fleet of a variant."""
        return experiment_plan(workload, variant, examples)
