"""A data centre leaves and returns under load."""

import asyncio
from typing import ClassVar, Final

from pollenloom.core.ids import VmId
from pollenloom_standins.backend.run_history import RunOutcome
from pollenloom_standins.experiment.backend_probe import change_faults
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import (
    is_model,
    utilisation_meter,
)

LEAVE_AT: Final = 6.0
RETURN_AT: Final = 14.0
FULL_USE: Final = 0.9
PLATFORM_DOWN: Final = 'platform down'


class DataCentreExperiment(Experiment):
    """The last data centre is drained, then restored, by the command."""

    name: ClassVar[str] = 'data_centre'
    seconds: ClassVar[float] = 24
    quick_seconds: ClassVar[float] = 20

    def variants(self) -> tuple[Variant, ...]:
        """Return the chosen policy, also without the platform."""
        return (
            Variant(name='allocator'),
            Variant(name='allocator, platform down', action=PLATFORM_DOWN),
            Variant(name='round_robin', policy='round_robin'),
        )

    async def act(self, context: RunContext) -> None:
        """Drain and restore."""
        if context.variant.action == PLATFORM_DOWN:
            await asyncio.sleep(LEAVE_AT / 2)
            await change_faults(context.fleet.platform_url, down=True)
        await self.operate(context, 'drain', LEAVE_AT)
        await self.operate(context, 'restore', RETURN_AT)

    async def operate(
        self,
        context: RunContext,
        command: str,
        at: float,
    ) -> None:
        """Run an operator's command at a time of the load."""
        await asyncio.sleep(max(at - context.load.now(), 0))
        context.mark(command)
        await context.fleet.operator.operate(
            context.fleet.operator_addresses(),
            command,
            context.workload.data_centres[-1],
        )
        context.mark(f'{command} told')

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return times from the start and the end of the commands."""
        vms = servers_in_last_data_centre(context)
        runs = data.runs_of(vms)
        drain = context.marks['drain']
        told = context.marks['drain told']
        restore = context.marks['restore']
        starts = [run.started - data.started for run in runs]
        last = max(at for at in starts if at < restore)
        cut = sum(
            run.started - data.started < drain
            and run.ended - data.started > drain
            and run.outcome is not RunOutcome.SERVED
            and run.ended - data.started < restore
            for run in runs
        )
        return {
            'no_new_work_seconds': max(last - drain, 0),
            'no_new_work_after_answer': max(last - told, 0),
            'new_work_after_3_seconds': sum(
                drain + 3 < at < restore for at in starts
            ),
            'runs_cut': cut,
            'full_use_seconds': full_use_seconds(data, vms, restore),
        }


def servers_in_last_data_centre(context: RunContext) -> list[VmId]:
    """Return the model servers of the data centre that leaves."""
    return [
        plan.vm
        for plan in context.fleet.plan.backends
        if is_model(plan.vm)
        and plan.data_centre == context.workload.data_centres[-1]
    ]


def full_use_seconds(data: RunData, vms: list[VmId], after: float) -> float:
    """Return the time until servers are nearly fully used; -1 for never."""
    meter = utilisation_meter(data)
    seconds = data.seconds / meter.bins
    for number, busy in enumerate(meter.busy_curve(vms)):
        if number * seconds > after and busy >= FULL_USE:
            return number * seconds - after
    return -1
