"""Measures the loss of the router that owns a pool."""

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
    is_model_server,
    utilisation_meter,
)
from pollenloom_standins.experiment.workload import SLOTS
from pollenloom_standins.fleet.process_fleet import ProcessFleet

OWNER_LOST_AT_SECONDS: Final = 7.0
FROZEN_SECONDS: Final = 7.0
# Effects of a loss or a return show within this time.
EFFECT_SECONDS: Final = 6.0
KILL: Final = 'kill'
FREEZE: Final = 'freeze'
# Policies in which routers depend on each other.
POLICIES: Final = (
    'allocator',
    'server_owner',
    'counter_exchange',
)


class PoolOwnerView(msgspec.Struct, frozen=True):
    """Service and owner of a pool, from the fleet's status."""

    service: str
    owner: str


class StatusView(msgspec.Struct, frozen=True):
    """Pools of the fleet's status; other fields are ignored."""

    pools: tuple[PoolOwnerView, ...]


class OwnerLossExperiment(Experiment):
    """Kills the owner of a model pool, or freezes and resumes it."""

    name: ClassVar[str] = 'owner_loss'
    seconds: ClassVar[float] = 21
    quick_seconds: ClassVar[float] = 21

    def variants(self) -> tuple[Variant, ...]:
        """Return a kill and a freeze for each of the policies."""
        return tuple(
            Variant(name=f'{policy}, {action}', policy=policy, action=action)
            for policy in POLICIES
            for action in (KILL, FREEZE)
        )

    async def change_fleet(self, context: RunContext) -> None:
        """Kill the owner, or freeze it and resume it later."""
        await asyncio.sleep(OWNER_LOST_AT_SECONDS)
        fleet = context.fleet
        vm = await model_pool_owner(fleet, context.workload.model)
        process = fleet.routers[vm]
        # The platform's load balancer does not choose an unavailable router.
        context.load.avoided_routers.add(vm)
        context.mark('lost')
        if context.variant.action == KILL:
            await process.kill()
            return
        process.freeze()
        await asyncio.sleep(FROZEN_SECONDS)
        context.mark('returned')
        process.resume()

    def figures(self, context: RunContext, data: RunData) -> dict[str, float]:
        """Return idle time and overload of the model servers after the loss.

        `longest_pause_seconds` and `idle_slot_seconds` cover the time of
        `EFFECT_SECONDS` after the loss, the others the time until the end of
        the load. `peak_load` is in multiples of a server's slots.
        """
        lost = context.marks['lost']
        vms = [vm for vm in data.histories if is_model_server(vm)]
        starts = {
            vm: [run.started - data.started for run in data.histories[vm]]
            for vm in vms
        }
        meter = utilisation_meter(data)
        bin_seconds = data.seconds / meter.bin_count
        first_bin = round(lost / bin_seconds)
        loads = [
            max(counts[bin_index] for counts in meter.running.values())
            for bin_index in range(first_bin, meter.bin_count)
        ]
        curve = meter.busy_curve(vms)
        last_bin = round((lost + EFFECT_SECONDS) / bin_seconds)
        return {
            'longest_pause_seconds': max(
                longest_pause(times, lost) for times in starts.values()
            ),
            'idle_slot_seconds': bin_seconds
            * SLOTS
            * len(vms)
            * sum(1 - busy for busy in curve[first_bin:last_bin]),
            'peak_load': max(loads) / SLOTS,
            'overloaded_seconds': bin_seconds
            * sum(load > SLOTS for load in loads),
        }


def longest_pause(starts: list[float], lost: float) -> float:
    """Return the longest time without a new run on a server, in seconds."""
    end = lost + EFFECT_SECONDS
    times = [at for at in starts if lost < at < end]
    return max(
        after - before for before, after in pairwise([lost, *times, end])
    )


async def model_pool_owner(fleet: ProcessFleet, service: str) -> VmId:
    """Return the router that owns the first pool of the model's service."""
    content = await read_status(fleet)
    status = msgspec.json.decode(content, type=StatusView)
    return VmId(
        next(pool.owner for pool in status.pools if pool.service == service),
    )
