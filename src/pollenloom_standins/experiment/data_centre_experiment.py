"""Drains and restores a data centre under load."""

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
    is_model_server,
    utilisation_meter,
)

DRAIN_AT_SECONDS: Final = 6.0
RESTORE_AT_SECONDS: Final = 14.0
# Servers count as fully used from this busy fraction of their slots on.
FULL_USE_FRACTION: Final = 0.9
PLATFORM_DOWN: Final = 'platform down'


class DataCentreExperiment(Experiment):
    """Drains, then restores, the last data centre with operator commands."""

    name: ClassVar[str] = 'data_centre'
    seconds: ClassVar[float] = 24
    quick_seconds: ClassVar[float] = 20

    def variants(self) -> tuple[Variant, ...]:
        """Return the allocator with and without platform, and round robin."""
        return (
            Variant(name='allocator'),
            Variant(name='allocator, platform down', action=PLATFORM_DOWN),
            Variant(name='round_robin', policy='round_robin'),
        )

    async def change_fleet(self, context: RunContext) -> None:
        """Drain and restore the data centre; one variant stops the platform."""
        if context.variant.action == PLATFORM_DOWN:
            await asyncio.sleep(DRAIN_AT_SECONDS / 2)
            await change_faults(context.fleet.platform_url, down=True)
        await self.run_operator_command(context, 'drain', DRAIN_AT_SECONDS)
        await self.run_operator_command(context, 'restore', RESTORE_AT_SECONDS)

    async def run_operator_command(
        self,
        context: RunContext,
        command: str,
        at: float,
    ) -> None:
        """Run an operator command at a time in seconds of the load.

        Marks the start and the end of the command.
        """
        await asyncio.sleep(max(at - context.load.now(), 0))
        context.mark(command)
        await context.fleet.operator.operate(
            context.fleet.operator_addresses(),
            command,
            context.workload.data_centres[-1],
        )
        context.mark(f'{command} finished')

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return how fast the drain and the restore take effect.

        Times are in seconds from the start of the drain,
        `no_new_work_after_answer` from its end, `full_use_seconds` from the
        start of the restore. `runs_cut` counts runs in progress at the
        start of the drain that ended unserved before the restore.
        """
        vms = servers_in_last_data_centre(context)
        runs = data.runs_of(vms)
        drain_started = context.marks['drain']
        drain_finished = context.marks['drain finished']
        restore_started = context.marks['restore']
        starts = [run.started - data.started for run in runs]
        last_start = max(at for at in starts if at < restore_started)
        runs_cut = sum(
            run.started - data.started < drain_started
            and run.ended - data.started > drain_started
            and run.outcome is not RunOutcome.SERVED
            and run.ended - data.started < restore_started
            for run in runs
        )
        return {
            'no_new_work_seconds': max(last_start - drain_started, 0),
            'no_new_work_after_answer': max(last_start - drain_finished, 0),
            'new_work_after_3_seconds': sum(
                drain_started + 3 < at < restore_started for at in starts
            ),
            'runs_cut': runs_cut,
            'full_use_seconds': full_use_seconds(data, vms, restore_started),
        }


def servers_in_last_data_centre(context: RunContext) -> list[VmId]:
    """Return the model servers of the data centre that is drained."""
    return [
        plan.vm
        for plan in context.fleet.plan.backends
        if is_model_server(plan.vm)
        and plan.data_centre == context.workload.data_centres[-1]
    ]


def full_use_seconds(data: RunData, vms: list[VmId], after: float) -> float:
    """Return the seconds from a time until full use; -1 without full use."""
    meter = utilisation_meter(data)
    bin_seconds = data.seconds / meter.bin_count
    for bin_index, busy in enumerate(meter.busy_curve(vms)):
        if bin_index * bin_seconds > after and busy >= FULL_USE_FRACTION:
            return bin_index * bin_seconds - after
    return -1
