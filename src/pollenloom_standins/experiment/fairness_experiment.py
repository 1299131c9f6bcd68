"""Fairness and utilisation of the admission policies under overload."""

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
    """A steady overload; nothing fails."""

    name: ClassVar[str] = 'fairness'

    def variants(self) -> tuple[Variant, ...]:
        """Return all policies."""
        return tuple(Variant(name=policy, policy=policy) for policy in POLICIES)

    async def act(self, context: RunContext) -> None:
        """Nothing changes during the load."""

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return no more figures."""
        return {}
