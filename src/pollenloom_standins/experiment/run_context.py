"""State of a run that experiments work with."""

from dataclasses import dataclass, field

from pollenloom_standins.experiment.backend_probe import BackendProbe
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.open_loop_load_generator import (
    OpenLoopLoadGenerator,
)
from pollenloom_standins.experiment.workload import Workload
from pollenloom_standins.fleet.process_fleet import ProcessFleet


@dataclass(frozen=True, kw_only=True)
class RunContext:
    """A running fleet and its load.

    Attributes:
        workload: The user's fleet and load.
        variant: Variant of the experiment.
        fleet: Processes of the fleet.
        load: The load generator.
        backends: Probe of the backend servers.
        seconds: Length of the load.
        marks: Times of the experiment's actions by name, in seconds since the
            start of the load.
    """

    workload: Workload
    variant: Variant
    fleet: ProcessFleet
    load: OpenLoopLoadGenerator
    backends: BackendProbe
    seconds: float
    marks: dict[str, float] = field(default_factory=dict)

    def mark(self, name: str) -> None:
        """Record the current time of the load under a name."""
        self.marks[name] = self.load.now()
