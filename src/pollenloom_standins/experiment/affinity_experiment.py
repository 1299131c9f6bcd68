"""Measures the effect of choosing servers by cached prompt prefixes."""

from collections.abc import Mapping
from statistics import fmean
from typing import ClassVar, Final

from pollenloom.core.ids import AccountId
from pollenloom_standins.experiment.arrival_generator import ArrivalGenerator
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import is_model_server
from pollenloom_standins.experiment.workload import Workload

CONVERSATIONS_PER_ACCOUNT: Final = 4
PROMPT_CHARACTERS: Final = (2000, 4000)
# All conversations together have about 800 blocks of 256 bytes; 270 cache
# blocks hold a third of them. An uncached prompt takes about 0.4 s to process.
ENGINE_OPTIONS: Final = ('--cache-blocks', '270', '--prefill-token-ms', '0.5')


class AffinityExperiment(Experiment):
    """Replays long prompts of few conversations, below the capacity.

    The fleet does not change during the load.
    """

    name: ClassVar[str] = 'affinity'
    load: ClassVar[float] = 0.25

    def variants(self) -> tuple[Variant, ...]:
        """Return the variants with affinity on and off."""
        return (
            Variant(name='affinity', engine_options=ENGINE_OPTIONS),
            Variant(
                name='no affinity',
                admission_settings=('affinity = false',),
                engine_options=ENGINE_OPTIONS,
            ),
        )

    async def change_fleet(self, context: RunContext) -> None:
        """Leave the fleet as it is."""

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return how much of the prompts came from the servers' caches.

        `cached_part` is the mean cached fraction of a prompt,
        `whole_prompts_cached` the fraction of prompts cached completely.
        """
        vms = [vm for vm in data.histories if is_model_server(vm)]
        runs = data.runs_of(vms)
        return {
            'cached_part': fmean(run.cached for run in runs),
            'whole_prompts_cached': fmean(run.cached == 1 for run in runs),
        }

    def arrival_generator(
        self,
        workload: Workload,
        shares: Mapping[AccountId, float],
        seconds: float,
    ) -> ArrivalGenerator:
        """Return a generator of long prompts of few conversations."""
        return ArrivalGenerator(
            workload,
            shares,
            seconds,
            self.load,
            CONVERSATIONS_PER_ACCOUNT,
            PROMPT_CHARACTERS,
        )
