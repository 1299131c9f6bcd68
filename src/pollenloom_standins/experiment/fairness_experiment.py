"""Measures fairness and utilisation of the policies under overload."""

from typing import ClassVar, Final

from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData

POLICIES: Final = (
    'allocator',
    'server_owner',
    'static_division',
    'counter_exchange',
    'round_robin',
)


class FairnessExperiment(Experiment):
    """Applies a steady overload without failures to each policy."""

    name: ClassVar[str] = 'fairness'

    def variants(self) -> tuple[Variant, ...]:
        """Return a variant for each admission policy."""
        return tuple(Variant(name=policy, policy=policy) for policy in POLICIES)

    async def change_fleet(self, context: RunContext) -> None:
        """Leave the fleet as it is."""

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return nothing; the figures of every run are enough."""
        return {}
