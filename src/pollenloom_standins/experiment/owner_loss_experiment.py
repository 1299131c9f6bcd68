"""The router that decides about a pool is lost."""

import asyncio
from itertools import pairwise
from typing import ClassVar, Final

import msgspec

from pollenloom.core.ids import VmId
from pollenloom_standins.experiment.experiment import Experiment
from pollenloom_standins.experiment.experiment_plan import Variant
from pollenloom_standins.experiment.router_probe import read_status
from pollenloom_standins.experiment.run_context import RunContext
from pollenloom_standins.experiment.run_data import RunData
from pollenloom_standins.experiment.run_measurement import (
    is_model,
    utilisation_meter,
)
from pollenloom_standins.experiment.workload import SLOTS
from pollenloom_standins.fleet.process_fleet import ProcessFleet

LOST_AT: Final = 7.0
FROZEN_SECONDS: Final = 7.0
# Losses and returns show within this time.
EFFECT_SECONDS: Final = 6.0
KILL: Final = 'kill'
FREEZE: Final = 'freeze'
POLICIES: Final = (
    'allocator',
    'server_owner',
    'counter_exchange',
)


class PoolOwnerView(msgspec.Struct, frozen=True):
    """The part of a pool's status that names its owner."""

    service: str
    owner: str


class StatusView(msgspec.Struct, frozen=True):
    """The part of the fleet's status with the pools."""

    pools: tuple[PoolOwnerView, ...]


class OwnerLossExperiment(Experiment):
    """The owner of a model pool is killed, or frozen and resumed."""

    name: ClassVar[str] = 'owner_loss'
    seconds: ClassVar[float] = 21
    quick_seconds: ClassVar[float] = 21

    def variants(self) -> tuple[Variant, ...]:
        """Return the policies in which routers depend on each other."""
        return tuple(
            Variant(name=f'{policy}, {action}', policy=policy, action=action)
            for policy in POLICIES
            for action in (KILL, FREEZE)
        )

    async def act(self, context: RunContext) -> None:
        """Lose the owner; a frozen one returns."""
        await asyncio.sleep(LOST_AT)
        fleet = context.fleet
        vm = await model_owner(fleet, context.workload.model)
        process = fleet.routers[vm]
        # The platform's balancer does not choose a router that is lost.
        context.load.avoided.add(vm)
        context.mark('lost')
        if context.variant.action == KILL:
            await process.kill()
            return
        process.freeze()
        await asyncio.sleep(FROZEN_SECONDS)
        context.mark('returned')
        process.resume()

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return the pause and what went beyond the slots."""
        lost = context.marks['lost']
        vms = [vm for vm in data.histories if is_model(vm)]
        starts = {
            vm: [run.started - data.started for run in data.histories[vm]]
            for vm in vms
        }
        meter = utilisation_meter(data)
        seconds = data.seconds / meter.bins
        first = round(lost / seconds)
        loads = [
            max(counts[number] for counts in meter.running.values())
            for number in range(first, meter.bins)
        ]
        curve = meter.busy_curve(vms)
        last = round((lost + EFFECT_SECONDS) / seconds)
        return {
            'longest_pause_seconds': max(
                longest_pause(times, lost) for times in starts.values()
            ),
            'idle_slot_seconds': seconds
            * SLOTS
            * len(vms)
            * sum(1 - busy for busy in curve[first:last]),
            'peak_load': max(loads) / SLOTS,
            'overloaded_seconds': seconds * sum(load > SLOTS for load in loads),
        }


def longest_pause(starts: list[float], lost: float) -> float:
    """Return the longest time without a new run on one server."""
    end = lost + EFFECT_SECONDS
    times = [at for at in starts if lost < at < end]
    return max(
        after - before for before, after in pairwise([lost, *times, end])
    )


async def model_owner(fleet: ProcessFleet, service: str) -> VmId:
    """Return the owner of the model's first pool."""
    content = await read_status(fleet)
    status = msgspec.json.decode(content, type=StatusView)
    return VmId(
        next(pool.owner for pool in status.pools if pool.service == service),
    )
