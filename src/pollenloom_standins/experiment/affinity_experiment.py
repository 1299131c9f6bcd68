"""Cached prompt prefixes steer the choice of the server, or not."""

from collections.abc import Mapping
from statistics import fmean
from typing import ClassVar, Final

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival_recorder import ArrivalRecorder
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import is_model
from pollenloom_standins.experiment.workload import Workload

CONVERSATIONS: Final = 4
PROMPTS: Final = (2000, 4000)
# All conversations have about 800 blocks of 256 bytes; a server caches a
# third of them. A whole prompt takes about 0.4 s without the cache.
ENGINE_OPTIONS: Final = ('--cache-blocks', '270', '--prefill-token-ms', '0.5')


class AffinityExperiment(Experiment):
    """Load below the capacity, few conversations, long prompts."""

    name: ClassVar[str] = 'affinity'
    load: ClassVar[float] = 0.25

    def variants(self) -> tuple[Variant, ...]:
        """Return affinity on and off."""
        return (
            Variant(name='affinity', engine_options=ENGINE_OPTIONS),
            Variant(
                name='no affinity',
                switches=('affinity = false',),
                engine_options=ENGINE_OPTIONS,
            ),
        )

    async def act(self, context: RunContext) -> None:
        """Nothing changes during the load."""

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return the cached part of the prompts."""
        vms = [vm for vm in data.histories if is_model(vm)]
        runs = data.runs_of(vms)
        return {
            'cached_part': fmean(run.cached for run in runs),
            'whole_prompts_cached': fmean(run.cached == 1 for run in runs),
        }

    def recorder(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> ArrivalRecorder:
        """Return what makes calls of few conversations."""
        return ArrivalRecorder(
            workload,
            shares,
            seconds,
            self.load,
            CONVERSATIONS,
            PROMPTS,
        )
