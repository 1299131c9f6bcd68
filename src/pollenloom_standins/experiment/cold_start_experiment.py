"""A model server turns cold under load."""

import asyncio
from dataclasses import replace
from typing import ClassVar, Final

from pollenloom.core.ids import VmId
from pollenloom_standins.backend.run_history import RunOutcome
from pollenloom_standins.experiment.backend_probe import change_faults
from pollenloom_standins.experiment.data_centre_experiment import (
    FULL_USE,
)
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import utilisation_meter

COLD_AT: Final = 8.0
COLD_SECONDS: Final = 4.0
SERVER: Final = VmId('model-0')
RESTART: Final = 'restart'
TURN_COLD: Final = 'turn cold'
NO_RAMP: Final = ('ramp = false',)


class ColdStartExperiment(Experiment):
    """The first model server restarts, or turns cold without warning.

    A request above its cold slots fails and makes the cold start longer.
    """

    name: ClassVar[str] = 'cold_start'
    seconds: ClassVar[float] = 24
    quick_seconds: ClassVar[float] = 20

    def variants(self) -> tuple[Variant, ...]:
        """Return both kinds of cold start, with and without ramp."""
        return (
            Variant(name='restart, ramp', action=RESTART),
            Variant(name='restart, no ramp', action=RESTART, switches=NO_RAMP),
            Variant(name='turn cold, ramp', action=TURN_COLD),
            Variant(
                name='turn cold, no ramp',
                action=TURN_COLD,
                switches=NO_RAMP,
            ),
        )

    async def act(self, context: RunContext) -> None:
        """Make the server cold."""
        await asyncio.sleep(COLD_AT)
        if context.variant.action == RESTART:
            await self.restart(context)
        else:
            context.mark('cold')
            await change_faults(
                context.fleet.control(SERVER),
                turn_cold=True,
                cold_seconds=COLD_SECONDS,
            )

    async def restart(self, context: RunContext) -> None:
        """Kill the server and start it cold at another address."""
        fleet = context.fleet
        plan = next(plan for plan in fleet.plan.backends if plan.vm == SERVER)
        await context.backends.keep(SERVER)
        await fleet.backends[SERVER].kill()
        options = (*plan.options, '--cold-seconds', str(COLD_SECONDS))
        await fleet.start_backend(replace(plan, options=options))
        context.mark('cold')
        await fleet.put_vm_list()

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return the cost of the cold start."""
        cold = context.marks['cold']
        runs = data.histories[SERVER]
        meter = utilisation_meter(data)
        seconds = data.seconds / meter.bins
        curve = meter.busy_curve([SERVER])
        return {
            'cold_overloads': context.backends.cold_overloads,
            'seconds_below_full_use': seconds
            * sum(
                busy < FULL_USE and number * seconds > cold
                for number, busy in enumerate(curve)
            ),
            'served_by_server': sum(
                run.outcome is RunOutcome.SERVED
                and run.started - data.started > cold
                for run in runs
            ),
        }
