"""Measures a cold start of a model server under load."""

import asyncio
from dataclasses import replace
from typing import ClassVar, Final

from pollenloom.core.ids import VmId
from pollenloom_standins.backend.run_history import RunOutcome
from pollenloom_standins.experiment.backend_probe import change_faults
from pollenloom_standins.experiment.data_centre_experiment import (
    FULL_USE_FRACTION,
)
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import utilisation_meter

COLD_AT_SECONDS: Final = 8.0
COLD_SECONDS: Final = 4.0
COLD_SERVER: Final = VmId('model-0')
RESTART: Final = 'restart'
TURN_COLD: Final = 'turn cold'
NO_RAMP: Final = ('ramp = false',)


class ColdStartExperiment(Experiment):
    """Restarts the first model server, or turns it cold without notice.

    A request above the server's cold slots fails and prolongs the cold start.
    """

    name: ClassVar[str] = 'cold_start'
    seconds: ClassVar[float] = 24
    quick_seconds: ClassVar[float] = 20

    def variants(self) -> tuple[Variant, ...]:
        """Return both kinds of cold start, each with and without the ramp."""
        return (
            Variant(name='restart, ramp', action=RESTART),
            Variant(
                name='restart, no ramp',
                action=RESTART,
                admission_settings=NO_RAMP,
            ),
            Variant(name='turn cold, ramp', action=TURN_COLD),
            Variant(
                name='turn cold, no ramp',
                action=TURN_COLD,
                admission_settings=NO_RAMP,
            ),
        )

    async def change_fleet(self, context: RunContext) -> None:
        """Restart the server, or switch it to cold, at a set time."""
        await asyncio.sleep(COLD_AT_SECONDS)
        if context.variant.action == RESTART:
            await self.restart(context)
        else:
            context.mark('cold')
            await change_faults(
                context.fleet.control_url(COLD_SERVER),
                turn_cold=True,
                cold_seconds=COLD_SECONDS,
            )

    async def restart(self, context: RunContext) -> None:
        """Kill the server and start it cold at another address."""
        fleet = context.fleet
        plan = next(
            plan for plan in fleet.plan.backends if plan.vm == COLD_SERVER
        )
        await context.backends.save_runs(COLD_SERVER)
        await fleet.backends[COLD_SERVER].kill()
        options = (*plan.options, '--cold-seconds', str(COLD_SECONDS))
        await fleet.start_backend(replace(plan, options=options))
        context.mark('cold')
        await fleet.put_vm_list()

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return overloads, lost time and served runs of the cold start."""
        cold_started = context.marks['cold']
        runs = data.histories[COLD_SERVER]
        meter = utilisation_meter(data)
        bin_seconds = data.seconds / meter.bin_count
        curve = meter.busy_curve([COLD_SERVER])
        return {
            'cold_overloads': context.backends.cold_overloads,
            'seconds_below_full_use': bin_seconds
            * sum(
                busy < FULL_USE_FRACTION
                and bin_index * bin_seconds > cold_started
                for bin_index, busy in enumerate(curve)
            ),
            'served_by_server': sum(
                run.outcome is RunOutcome.SERVED
                and run.started - data.started > cold_started
                for run in runs
            ),
        }
